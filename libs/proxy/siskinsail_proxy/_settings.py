"""Settings of the request path."""

from dataclasses import dataclass

from siskinsail_types import VmId


@dataclass(frozen=True)
class ProxySettings:
    """Limits and policies of the request path.

    Parameters
    ----------
    vm_id : VmId
        Name of this entry VM.
    reads_on_primary_only : bool
        Whether all reads go to the primary, a baseline for comparisons.
    default_deadline_ms, max_deadline_ms : int
        Time limit of requests that state none, and the maximum time limit,
        in milliseconds.
    read_attempt_s : float
        Time limit of one read attempt on a replica, in seconds. It leaves
        time for another replica when the first one is frozen.
    max_statements : int
        Maximum number of statements in a request.
    max_transactions, max_transactions_per_account : int
        Maximum number of open transactions on this entry VM, in total and
        per client account.
    transaction_idle_s : float
        Time without a statement after which a transaction is rolled back,
        in seconds.
    record_retention_s : float
        Time for which idempotency records are kept, in seconds.
    clock_error_s : float
        Maximum error of the wall clock of any daemon, in seconds. Records
        are kept for twice this time in addition to the retention.
    retry_share : float
        Maximum ratio of retries to requests in the long run.
    retry_reserve : float
        Initial and maximum size of the retry budget, in retries. It lets
        requests at low load survive a change of primary.
    anonymous_rate, anonymous_burst : float
        Rate limit of this entry VM for requests without an API key, in
        requests per second and in requests.
    read_log_interval : int
        Number of reads per logged read.
    """

    vm_id: VmId
    reads_on_primary_only: bool = False
    default_deadline_ms: int = 5_000
    max_deadline_ms: int = 30_000
    read_attempt_s: float = 1.0
    max_statements: int = 100
    max_transactions: int = 1_000
    max_transactions_per_account: int = 100
    transaction_idle_s: float = 30.0
    record_retention_s: float = 604_800.0
    clock_error_s: float = 300.0
    retry_share: float = 0.1
    retry_reserve: float = 20.0
    anonymous_rate: float = 100.0
    anonymous_burst: float = 100.0
    read_log_interval: int = 100

"""Messages between the lender (control leader) and the borrowers (daemons)."""

from typing import Protocol

import msgspec
from returns.result import Result

from siskinsail_types import AccountId
from siskinsail_types import RequestError


class LoanReport(msgspec.Struct, frozen=True, rename='camel'):
    """Token counters of one client account in one daemon.

    ``spent``, ``returned`` and ``received`` are cumulative since the start of
    the daemon, so the next report makes up for one that is lost.

    Parameters
    ----------
    account : AccountId
        The client account.
    spent : float
        Tokens spent since the daemon started.
    returned : float
        Tokens returned to the lender or expired since the daemon started.
    received : float
        Tokens received since the daemon started.
    wanted : float
        Tokens that the daemon requests now.
    waited_s : float
        Time for which the oldest request has waited for a token, 0 if no
        request waits.
    """

    account: AccountId
    spent: float
    returned: float
    received: float
    wanted: float
    waited_s: float = 0.0


class LoanBalance(msgspec.Struct, frozen=True):
    """Tokens of one client account that a daemon reports to a new lender.

    Parameters
    ----------
    held : float
        Tokens that the daemon holds now.
    spent : float
        Tokens spent since the daemon sent the last call that an earlier lender
        answered. That lender lent nothing after its answer, so ``held`` plus
        ``spent`` is the most that the daemon has held since then.
    """

    held: float = 0.0
    spent: float = 0.0


class LoanGrant(msgspec.Struct, frozen=True):
    """Tokens lent to a daemon.

    Parameters
    ----------
    account : AccountId
        The client account.
    granted : float
        Tokens lent to the daemon since it started. The counter is cumulative,
        so a grant that is sent twice counts once.
    retry_after_s : float or None
        Seconds until the bucket holds a token, if requests that wait for one
        are to be refused.
    """

    account: AccountId
    granted: float
    retry_after_s: float | None = None


class RateLimiter(Protocol):
    """Interface of the borrower that the request path uses."""

    async def acquire(
        self, account: AccountId, deadline_s: float
    ) -> Result[None, RequestError]:
        """Take one token, waiting for the lender until ``deadline_s``.

        Parameters
        ----------
        account : AccountId
            The client account.
        deadline_s : float
            Latest time to wait for, on the clock of the daemon.

        Returns
        -------
        Result
            Failure with ``RATE_LIMITED`` when the lender reports an empty
            bucket, when the deadline has passed, or when no lender has
            answered for ``lender_wait_s``; failure with ``OVERLOADED`` when
            too many requests of the account wait already.
        """
        ...

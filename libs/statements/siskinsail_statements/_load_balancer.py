"""Choice of holders by the figures in their answers."""

from collections.abc import Sequence

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge

from siskinsail_catalogue import ServingDaemon
from siskinsail_holders import AccountDemand
from siskinsail_holders import GuestAccounts
from siskinsail_holders import HolderBalance
from siskinsail_holders import HolderSettings
from siskinsail_load import LoadSettings
from siskinsail_load import LoadTable
from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import VmId

from ._forwarding_messages import ForwardedAnswer
from ._forwarding_messages import ForwardedCall
from ._forwarding_messages import NotRunReason
from ._load_figures import load_of
from ._load_figures import spent_s

# Refusals that do not depend on the connections of the holder.
_OTHER_REFUSALS = frozenset(
    (
        NotRunReason.NOT_SERVED,
        NotRunReason.POSITION_UNKNOWN,
        NotRunReason.TRANSACTION_UNKNOWN,
        NotRunReason.DRAINING,
    )
)


class HolderLoadBalancer:
    """Keeps the figures of the holders and orders the holders by them.

    Parameters
    ----------
    settings : HolderSettings
        Margins, steps and limits.
    own : VmId
        Name of this daemon.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, settings: HolderSettings, own: VmId, clock: Clock
    ) -> None:
        self._loads = LoadTable(LoadSettings(), own, clock)
        self._balance = HolderBalance(settings, own, self._loads, clock)
        self._guests = GuestAccounts(settings, clock)
        self._moved: Counter | None = None

    @property
    def loads(self) -> LoadTable:
        """Recent figures of the holders."""
        return self._loads

    @property
    def guests(self) -> GuestAccounts:
        """Accounts that this daemon serves because of the load."""
        return self._guests

    def register_metrics(
        self, registry: CollectorRegistry, demand: AccountDemand
    ) -> None:
        """Create the metrics of the load and of its decisions."""
        self._moved = Counter(
            'siskinsail_holder_moved_statements',
            'Number of statements sent to another holder than the first.',
            ('reason',),
            registry=registry,
        )
        gauges = {
            'siskinsail_load_figures': (
                'Number of load figures received from holders.',
                self._loads.__len__,
            ),
            'siskinsail_load_figures_rejected': (
                'Number of load figures that no holder can have.',
                lambda: self._loads.rejected,
            ),
            'siskinsail_holder_moved_shares': (
                'Number of holders and databases that statements leave.',
                lambda: self._balance.moved_shares,
            ),
            'siskinsail_holder_hot_accounts': (
                'Number of accounts and databases that need further holders'
                ' than this one.',
                lambda: demand.hot_accounts,
            ),
            'siskinsail_holder_spread_accounts': (
                'Number of accounts and databases spread over their holders.',
                self._balance.further_holders.__len__,
            ),
        }
        for name, (text, read) in gauges.items():
            Gauge(name, text, registry=registry).set_function(read)

    def order(
        self,
        database: DatabaseId,
        account: AccountId,
        holders: Sequence[ServingDaemon],
        *,
        is_sent: bool,
    ) -> tuple[ServingDaemon, ...]:
        """Return the holders that share a database, best first."""
        choice = self._balance.choose(
            database, account, holders, is_sent=is_sent
        )
        if is_sent and choice.reason is not None and self._moved is not None:
            self._moved.labels(choice.reason.value).inc()
        return choice.holders

    def record_answer(
        self,
        holder: VmId,
        call: ForwardedCall,
        answer: ForwardedAnswer,
        call_s: float,
    ) -> None:
        """Record the figures in an answer and the time of the call."""
        load = load_of(answer)
        if load is None:
            return
        self._loads.record(holder, call.database, load)
        is_refused = (
            answer.reason is not NotRunReason.NONE
            and answer.reason not in _OTHER_REFUSALS
        )
        overhead_s = max(call_s - spent_s(answer), 0.0)
        self._loads.record_call(holder, overhead_s, is_refused=is_refused)
        self._balance.evaluate(call.database, holder)
        self._balance.further_holders.record(
            call.database, call.account, holder, answer.account_holders
        )

    def forget_others(self, known: frozenset[VmId]) -> None:
        """Forget the holders that are not in the view any more."""
        self._loads.forget_others(known)
        self._balance.forget_others(known)

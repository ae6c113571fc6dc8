"""Calls of the daemons that hold connections to databases."""

from typing import NamedTuple
from typing import Protocol

import anyio
import anyio.abc
from prometheus_client import CollectorRegistry

from siskinsail_backend import DatabaseError
from siskinsail_budget import BudgetSettings
from siskinsail_budget import MemoryBudget
from siskinsail_budget import Reservation
from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import ServingDaemon
from siskinsail_catalogue import View
from siskinsail_catalogue import ViewSource
from siskinsail_holders import AccountDemand
from siskinsail_holders import HolderDirectory
from siskinsail_holders import HolderHealth
from siskinsail_holders import HolderSettings
from siskinsail_load import LoadTable
from siskinsail_net import ANSWER_COPIES
from siskinsail_net import AnswerDroppedError
from siskinsail_net import Network
from siskinsail_net import PeerCallError
from siskinsail_net import PeerClient
from siskinsail_telemetry import log_event
from siskinsail_types import AccountId
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import LimitExceededError
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import TransportError
from siskinsail_types import VmId

from ._call_memory import CallMemory
from ._call_memory import rows_bytes
from ._forwarding_messages import decode_answer
from ._forwarding_messages import encode_call
from ._forwarding_messages import FORWARD_METHOD
from ._forwarding_messages import ForwardedAnswer
from ._forwarding_messages import ForwardedCall
from ._forwarding_messages import ForwardedOutcome
from ._forwarding_times import at_send_time
from ._load_balancer import HolderLoadBalancer

# Ten round trips between regions, in which a first connection is established.
_CONNECT_WAIT_S = 0.3
# Two trips between regions.
_MIN_CALL_S = 0.03
# Longer than any statement may take, since a holder answers at its deadline.
_READ_TIMEOUT_S = 10.0
# Connections to daemons that are not called any more are closed.
_IDLE_CLIENT_S = 60.0
_IDLE_CHECK_S = 10.0
# Holders that one statement may try.
_MAX_CANDIDATES = 3


class HolderUnavailableError(DatabaseError):
    """A holder could not be called, so the statement did not run."""

    def __init__(self, message: str) -> None:
        super().__init__('holder_unavailable', message)


class HolderLostError(DatabaseError):
    """A holder was called and did not answer; the statement may have run."""

    def __init__(self, message: str) -> None:
        super().__init__('holder_lost', message)


class HolderAnswer(NamedTuple):
    """Answer of a holder, with the memory of its rows.

    Parameters
    ----------
    reservation : Reservation or None
        None if the answer is small.
    """

    message: ForwardedAnswer
    reservation: Reservation | None


class HolderClient(Protocol):
    """Client of one holder; ``PeerClient`` implements it."""

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established."""
        ...

    @property
    def failed_attempts(self) -> int:
        """Number of attempts to connect since the last success."""
        ...

    async def wait_connected(self, timeout_s: float) -> bool:
        """Wait for the connection; return whether it is established."""
        ...

    async def call(
        self,
        method: str,
        payload: bytes,
        timeout_s: float,
        reservation: Reservation | None = None,
    ) -> bytes:
        """Call a method and return the payload of the answer."""
        ...


class HolderClients:
    """Connections to holders, opened with the first call of each.

    Parameters
    ----------
    network : Network
        Network that makes the connections.
    secret : Secret
        Secret shared by all daemons of the fleet.
    own : VmId
        Name of this daemon.
    clock : Clock
        Source of time.
    memory : MemoryBudget or None
        Memory budget of the process; None for no limit.
    """

    def __init__(
        self,
        network: Network,
        secret: Secret,
        own: VmId,
        clock: Clock,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = memory
        self._network = network
        self._secret = secret
        self._own = own
        self._clock = clock
        self._tasks: anyio.abc.TaskGroup | None = None
        self._clients: dict[ServingDaemon, PeerClient] = {}
        self._scopes: dict[ServingDaemon, anyio.CancelScope] = {}
        self._last_used_s: dict[ServingDaemon, float] = {}

    def client(self, daemon: ServingDaemon) -> HolderClient:
        """Return the client of a holder."""
        self._last_used_s[daemon] = self._clock.now_s()
        client = self._clients.get(daemon)
        if client is None:
            client = PeerClient(
                self._network,
                Address.parse(daemon.address),
                self._secret,
                self._own,
                read_timeout_s=_READ_TIMEOUT_S,
                clock=self._clock,
                memory=self._memory,
            )
            self._clients[daemon] = client
            if self._tasks is not None:
                scope = self._scopes[daemon] = anyio.CancelScope()
                self._tasks.start_soon(_run_client, client, scope)
        return client

    def unanswered_s(self, daemon: ServingDaemon) -> float:
        """Return for how long a holder has answered no pending call."""
        client = self._clients.get(daemon)
        return 0.0 if client is None else client.unanswered_s

    async def run(self) -> None:
        """Maintain the connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                while True:
                    await anyio.sleep(_IDLE_CHECK_S)
                    self._close_idle()
            finally:
                self._tasks = None

    def _close_idle(self) -> None:
        limit_s = self._clock.now_s() - _IDLE_CLIENT_S
        for daemon, used_s in list(self._last_used_s.items()):
            if used_s < limit_s:
                del self._last_used_s[daemon]
                del self._clients[daemon]
                self._scopes.pop(daemon).cancel()


async def _run_client(client: PeerClient, scope: anyio.CancelScope) -> None:
    with scope:
        await client.run()


class Forwarder:
    """Has holders run the statements of client accounts.

    Parameters
    ----------
    settings : HolderSettings
        Numbers of holders and times for which they are avoided.
    own : VmId
        Name of this daemon.
    views : ViewSource
        Current view, with the daemons and the accounts.
    clients : HolderClients
        Connections to holders.
    clock : Clock
        Source of time.
    memory : MemoryBudget or None
        Memory budget of the process; None for no limit.
    """

    def __init__(
        self,
        settings: HolderSettings,
        own: VmId,
        views: ViewSource,
        clients: HolderClients,
        clock: Clock,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = CallMemory(memory or MemoryBudget(BudgetSettings()))
        self._settings = settings
        self._own = own
        self._views = views
        self._clients = clients
        self._directory = HolderDirectory(settings, own)
        self._health = HolderHealth(settings, clock)
        self._balancer: HolderLoadBalancer | None = None
        if settings.balances_load:
            self._balancer = HolderLoadBalancer(settings, own, clock)
        self._clock = clock
        self._view: View | None = None

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clock

    @property
    def loads(self) -> LoadTable | None:
        """Recent load of the holders, None if it is not considered."""
        return None if self._balancer is None else self._balancer.loads

    @property
    def settings(self) -> HolderSettings:
        """Numbers of holders and how they are chosen."""
        return self._settings

    def register_metrics(
        self, registry: CollectorRegistry, demand: AccountDemand
    ) -> None:
        """Create the metrics of the load, if it is considered."""
        if self._balancer is not None:
            self._balancer.register_metrics(registry, demand)

    def has_holders(self, server: BackendServer) -> bool:
        """Tell whether any daemon holds connections to a database."""
        self._update()
        return bool(self._directory.holders(server, AccountId('')))

    def candidates(
        self,
        server: BackendServer,
        account: AccountId,
        *,
        is_sent: bool = False,
    ) -> tuple[ServingDaemon, ...]:
        """Return the holders to call, best first.

        The result is empty if the statements should run on this daemon.

        Parameters
        ----------
        is_sent : bool
            Whether a statement is sent according to the result.
        """
        self._update()
        candidates: list[ServingDaemon] = []
        for daemon in self._ordered(server, account, is_sent):
            if daemon.vm == self._own:
                break
            if self._is_usable(daemon):
                candidates.append(daemon)
            if len(candidates) == _MAX_CANDIDATES:
                break
        return tuple(candidates)

    def assigned_accounts(self, database: DatabaseId) -> int:
        """Return for how many accounts this daemon holds a database."""
        self._update()
        server = self._views.view.databases.get(database)
        if server is None:
            return 0
        assigned = self._directory.assigned_accounts(server)
        if self._balancer is None:
            return assigned
        return assigned + self._balancer.guests.count(database)

    def record_served(self, database: DatabaseId, account: AccountId) -> None:
        """Record that another daemon sends statements of an account here."""
        if self._balancer is None:
            return
        self._update()
        server = self._views.view.databases.get(database)
        if server is not None and not self._directory.is_assigned(
            server, account
        ):
            self._balancer.guests.record(database, account)

    async def call(
        self,
        daemon: ServingDaemon,
        call: ForwardedCall,
        made_s: float,
        end_s: float,
    ) -> HolderAnswer:
        """Call a holder.

        Parameters
        ----------
        made_s : float
            Time at which the call was made, to which its times refer.
        end_s : float
            Time at which the caller stops waiting for an answer.

        Raises
        ------
        HolderUnavailableError
            If there is no connection to the holder, too little time, or no
            memory for the call.
        HolderLostError
            If the holder does not answer, or no memory is left for its
            answer.
        """
        self._check_time_left(end_s)
        remaining_s = end_s - self._clock.now_s()
        reservation = await self._memory.reserve(call, remaining_s)
        if reservation is None:
            raise HolderUnavailableError('no memory is left for the call')
        try:
            return await self._call_with_memory(
                daemon, call, made_s, end_s, reservation
            )
        except BaseException:
            # An error may keep its frames, and these the reservation, until
            # the next garbage collection.
            reservation.close()
            raise

    async def _call_with_memory(
        self,
        daemon: ServingDaemon,
        call: ForwardedCall,
        made_s: float,
        end_s: float,
        reservation: Reservation,
    ) -> HolderAnswer:
        # The connection comes last, so that it is not lost while the call
        # waits for memory. The call would then count as sent.
        client = self._clients.client(daemon)
        if not client.is_connected:
            await self._connect(daemon, client, end_s)
        self._check_time_left(end_s)
        sent_s = self._clock.now_s()
        timeout_s = end_s - sent_s
        timed_call = at_send_time(call, timeout_s, sent_s - made_s)
        answer = await self._exchange(
            daemon, client, timed_call, timeout_s, reservation
        )
        self._health.record_answer(daemon.vm)
        if self._balancer is not None:
            call_s = self._clock.now_s() - sent_s
            self._balancer.record_answer(daemon.vm, call, answer, call_s)
        return HolderAnswer(
            answer, reservation if reservation.is_charged else None
        )

    async def _exchange(
        self,
        daemon: ServingDaemon,
        client: HolderClient,
        call: ForwardedCall,
        timeout_s: float,
        reservation: Reservation,
    ) -> ForwardedAnswer:
        try:
            payload = await client.call(
                FORWARD_METHOD, encode_call(call), timeout_s, reservation
            )
        except LimitExceededError as error:
            # The call was too large to be sent.
            raise HolderUnavailableError(str(error)) from error
        except AnswerDroppedError as error:
            self._memory.record_answer(call.account, error.size_bytes)
            self._log_dropped(call, error.size_bytes)
            raise HolderLostError(str(error)) from error
        except (TransportError, ProtocolError, PeerCallError) as error:
            # A call with little time left says nothing about the holder, nor
            # does an answer that is too large to be sent.
            is_enough = timeout_s >= self._settings.unanswered_s
            if is_enough and not _is_answer_too_large(error):
                self._record_failure(daemon, str(error))
            raise HolderLostError(str(error)) from error
        try:
            answer = decode_answer(payload)
        except ProtocolError as error:
            self._record_failure(daemon, str(error))
            raise HolderLostError(str(error)) from error
        size_bytes = rows_bytes(answer.rows)
        # A refusal tells nothing about the answers of the account.
        if answer.outcome is ForwardedOutcome.ANSWERED and not answer.error:
            self._memory.record_answer(
                call.account, max(size_bytes, len(payload) * ANSWER_COPIES)
            )
        if not reservation.try_resize(size_bytes, passes_waiting=True):
            self._log_dropped(call, size_bytes)
            raise HolderLostError('no memory is left for the answer')
        return answer

    def _check_time_left(self, end_s: float) -> None:
        if end_s - self._clock.now_s() < _MIN_CALL_S:
            raise HolderUnavailableError('too little time is left for a call')

    async def _connect(
        self, daemon: ServingDaemon, client: HolderClient, end_s: float
    ) -> None:
        """Wait for the first connection to a holder."""
        wait_s = min(end_s - self._clock.now_s(), _CONNECT_WAIT_S)
        if client.failed_attempts or not await client.wait_connected(wait_s):
            # A call with little time left says nothing about the holder.
            if client.failed_attempts or wait_s >= _CONNECT_WAIT_S:
                self._record_failure(daemon, 'no connection')
            raise HolderUnavailableError(f'no connection to {daemon.vm}')

    def _log_dropped(self, call: ForwardedCall, size_bytes: int) -> None:
        log_event(
            'holder_answer_dropped',
            request=call.request_id,
            account=call.account,
            size_bytes=size_bytes,
        )

    def avoid(self, daemon: ServingDaemon, reason: str) -> None:
        """Avoid a holder that refuses to run statements."""
        self._record_failure(daemon, reason)

    def _ordered(
        self, server: BackendServer, account: AccountId, is_sent: bool
    ) -> tuple[ServingDaemon, ...]:
        """Return the holders of an account, best first."""
        holders = self._directory.holders(server, account)
        if self._balancer is None:
            return holders
        count = self._settings.per_database
        usable = [
            daemon
            for daemon in holders[:count]
            if daemon.vm == self._own or self._is_usable(daemon)
        ]
        shared = self._balancer.order(
            server.database, account, usable, is_sent=is_sent
        )
        return (*shared, *holders[count:])

    def _is_usable(self, daemon: ServingDaemon) -> bool:
        if self._health.is_avoided(daemon.vm):
            return False
        unanswered_s = self._clients.unanswered_s(daemon)
        return unanswered_s < self._settings.unanswered_s

    def _record_failure(self, daemon: ServingDaemon, reason: str) -> None:
        if self._health.record_failure(daemon.vm):
            log_event('holder_avoided', vm=daemon.vm, reason=reason)

    def _update(self) -> None:
        view = self._views.view
        if view is self._view:
            return
        self._view = view
        self._directory.update(view)
        known = frozenset(daemon.vm for daemon in self._directory.daemons)
        self._health.forget_others(known)
        if self._balancer is not None:
            self._balancer.forget_others(known)


def _is_answer_too_large(error: SiskinsailError) -> bool:
    return (
        isinstance(error, PeerCallError)
        and error.error_type == LimitExceededError.__name__
    )

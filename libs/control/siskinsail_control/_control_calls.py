"""Control calls of a daemon, made directly or through a relay."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatchmethod

import anyio
import anyio.abc

from siskinsail_catalogue import ServingDaemon
from siskinsail_net import AddressResolver
from siskinsail_net import Network
from siskinsail_net import PeerClient
from siskinsail_net import resolve_no_address
from siskinsail_telemetry import log_event
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import TransportError
from siskinsail_types import VmId

from ._cancellation import cancel_when_set
from ._leader_client import RETRY_DELAY_S
from ._leader_connection import LeaderConnection
from ._leader_finder import LeaderFinder
from ._messages import BORROW_METHOD
from ._messages import BorrowAnswer
from ._messages import BorrowRequest
from ._messages import decode_message
from ._messages import encode_message
from ._messages import Status
from ._messages import SyncAnswer
from ._metrics import ControlMetrics
from ._relay_caller import RelayCaller
from ._relay_choice import RelayChoice
from ._settings import ControlSettings

# Pause between two calls to members while another daemon relays the calls.
RELAYED_PROBE_INTERVAL_S = 0.25


@dataclass(frozen=True)
class DirectPath:
    """Path of calls to a control member."""

    client: PeerClient


@dataclass(frozen=True)
class RelayedPath:
    """Path of calls through another daemon."""

    relay: ServingDaemon


CallPath = DirectPath | RelayedPath


class ControlCalls:
    """Makes the control calls of a daemon.

    Calls take the direct path to a control member. Where relays are switched
    on and the leader does not answer, they take a path through another daemon,
    while a task calls the members until one answers as leader.

    Parameters
    ----------
    settings : ControlSettings
        Settings of control.
    vm : VmId
        Name of this daemon.
    members : mapping
        Peer addresses of the control members.
    network, secret, clock
        Network, fleet secret and clock.
    metrics : ControlMetrics
        Metrics of the relayed calls.
    resolve : callable
        Returns the peer address of a member that is not in ``members``.
    """

    def __init__(
        self,
        settings: ControlSettings,
        vm: VmId,
        members: Mapping[VmId, Address],
        network: Network,
        secret: Secret,
        clock: Clock,
        metrics: ControlMetrics,
        resolve: AddressResolver = resolve_no_address,
    ) -> None:
        self._settings = settings
        self._finder = LeaderFinder(
            members, network, secret, vm, resolve, settings.read_timeout_s
        )
        self._relay_caller = RelayCaller(
            settings, vm, network, secret, clock, metrics
        )
        self._choice = RelayChoice(vm, clock)
        self._path: CallPath = DirectPath(self._finder.client)
        self._is_redirected = False
        self._leader_connection: LeaderConnection | None = None
        self._direct_lost = anyio.Event()
        self._direct_found = anyio.Event()

    @property
    def finder(self) -> LeaderFinder:
        """Choice of the control member to call."""
        return self._finder

    @property
    def leader_connection(self) -> LeaderConnection | None:
        """Connection to the leader, None if it did not answer the last call.

        A leader that answered through a relay is none.
        """
        return self._leader_connection

    def set_daemons(self, daemons: tuple[ServingDaemon, ...]) -> None:
        """Set the daemons that may relay calls."""
        if not self._settings.relays_control_calls:
            return
        relay = self._choice.relay
        self._choice.set_daemons(daemons)
        if relay is not None and self._choice.relay is None:
            self._end_relay(relay, 'not in the view')

    async def run(self) -> None:
        """Keep the connections open until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._finder.run)
            if self._settings.relays_control_calls:
                tasks.start_soon(self._relay_caller.run)
                tasks.start_soon(self._find_direct_path)

    def end_relaying(self) -> None:
        """Relay no more calls of other daemons until the leader answers."""
        if self._leader_connection is not None:
            self._leader_connection.lost.set()
            self._leader_connection = None

    async def choose_path(self) -> CallPath | None:
        """Choose the path of the next sync call, and of calls meanwhile.

        Returns
        -------
        CallPath or None
            None if no member could be reached in the time of a call and there
            is no daemon that could relay calls.
        """
        while not self._choice.is_direct:
            candidate = self._choice.next_candidate()
            if candidate is not None:
                self._path = RelayedPath(candidate)
                return self._path
            # The next call to a member may end the pause.
            with anyio.move_on_after(min(self._choice.pause_s, RETRY_DELAY_S)):
                await self._direct_found.wait()
        if self._choice.has_candidates and not self._finder.is_any_connected:
            self._choice.record_no_member()
            self._leave_direct_path()
            return await self.choose_path()
        if not await self._finder.wait_any_connected(
            self._settings.call_timeout_s
        ):
            return None
        self._finder.prefer_connected()
        self._path = DirectPath(self._finder.client)
        return self._path

    async def sync(self, method: str, payload: bytes) -> bytes:
        """Make a call on the chosen path.

        A relayed call ends when a member answers as leader, so that the next
        call is made directly.

        Raises
        ------
        SiskinsailError
            If there is no answer.
        """
        path = self._path
        if isinstance(path, DirectPath):
            return await self._call(path, method, payload)
        answer: bytes | SiskinsailError = TransportError('a member answered')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                cancel_when_set, self._direct_found, tasks.cancel_scope
            )
            try:
                answer = await self._call(path, method, payload)
            except SiskinsailError as error:
                answer = error
            tasks.cancel_scope.cancel()
        if isinstance(answer, SiskinsailError):
            raise answer
        return answer

    async def call(self, method: str, payload: bytes) -> bytes:
        """Make a call beside the sync calls.

        It goes to the relay or to the member that is called now, which may
        have changed since the path of the sync call was chosen.

        Raises
        ------
        SiskinsailError
            If there is no answer.
        """
        relay = self._choice.relay
        if relay is not None:
            return await self._call(RelayedPath(relay), method, payload)
        path = DirectPath(self._finder.client)
        return await self._call(path, method, payload)

    @singledispatchmethod
    def record_leader(self, path: CallPath) -> None:
        """Record that the leader answered a sync call."""
        raise TypeError(path)

    @record_leader.register
    def _(self, path: DirectPath) -> None:
        self._is_redirected = False
        self._finder.record_leader(path.client)
        self._choice.record_direct_answer()
        connection = self._leader_connection
        if connection is None or connection.client is not path.client:
            self.end_relaying()
            self._leader_connection = LeaderConnection(path.client)

    @record_leader.register
    def _(self, path: RelayedPath) -> None:
        was_relayed = self._choice.relay is not None
        self._choice.record_relay_answer(path.relay)
        if not was_relayed and self._choice.relay is not None:
            log_event('control_relay_started', relay=path.relay.vm)

    @singledispatchmethod
    def record_not_registered(self, path: CallPath) -> None:
        """Record that the leader asked for a registration."""
        raise TypeError(path)

    @record_not_registered.register
    def _(self, path: DirectPath) -> None:
        self._is_redirected = False

    @record_not_registered.register
    def _(self, path: RelayedPath) -> None:
        self.record_leader(path)

    @singledispatchmethod
    def record_failure(self, path: CallPath) -> bool:
        """Record a sync call without an answer.

        Returns
        -------
        bool
            Whether to call again without a pause.
        """
        raise TypeError(path)

    @record_failure.register
    def _(self, path: DirectPath) -> bool:
        self._is_redirected = False
        self._finder.record_failure(path.client)
        self._choice.record_direct_failure()
        self._leave_direct_path()
        return not self._choice.is_direct

    @record_failure.register
    def _(self, path: RelayedPath) -> bool:
        # A call that ended since a member answered says nothing of the relay.
        if not self._choice.is_direct:
            self._leave_relay(path.relay, 'no answer')
        return True

    @singledispatchmethod
    def record_refusal(self, path: CallPath, answer: SyncAnswer) -> bool:
        """Record a sync call that was answered but not as by a leader.

        Returns
        -------
        bool
            Whether to call again without a pause.
        """
        raise TypeError(path)

    @record_refusal.register
    def _(self, path: DirectPath, answer: SyncAnswer) -> bool:
        self._choice.record_direct_refusal()
        self._leave_direct_path()
        return self._follow_hint(path.client, answer.leader)

    @record_refusal.register
    def _(self, path: RelayedPath, answer: SyncAnswer) -> bool:
        if answer.status is Status.NOT_LEADER:
            self._leave_relay(path.relay, 'not the leader')
            return True
        self.record_leader(path)
        return False

    def _follow_hint(self, client: PeerClient, leader: str) -> bool:
        was_redirected = self._is_redirected
        is_named = self._finder.record_refusal(client, leader)
        # Two members that name each other must not cause a busy loop.
        self._is_redirected = is_named and not was_redirected
        return self._is_redirected

    def _leave_direct_path(self) -> None:
        """End the use of the leader, and of the direct path if so chosen."""
        self.end_relaying()
        if not self._choice.is_direct:
            self._direct_found = anyio.Event()
            self._direct_lost.set()

    def _leave_relay(self, relay: ServingDaemon, reason: str) -> None:
        was_kept = self._choice.relay == relay
        self._choice.record_relay_failure(relay)
        if was_kept:
            self._end_relay(relay, reason)
        else:
            self._relay_caller.disconnect(relay)

    def _end_relay(self, relay: ServingDaemon, reason: str) -> None:
        log_event('control_relay_ended', relay=relay.vm, reason=reason)
        self._relay_caller.disconnect(relay)

    @singledispatchmethod
    async def _call(
        self, path: CallPath, method: str, payload: bytes
    ) -> bytes:
        raise TypeError(path)

    @_call.register
    async def _(self, path: DirectPath, method: str, payload: bytes) -> bytes:
        return await path.client.call(
            method, payload, self._settings.call_timeout_s
        )

    @_call.register
    async def _(self, path: RelayedPath, method: str, payload: bytes) -> bytes:
        return await self._relay_caller.call(path.relay, method, payload)

    async def _find_direct_path(self) -> None:
        """Call the members while they don't answer the sync calls."""
        while True:
            await self._direct_lost.wait()
            if await self._probe_member():
                self._use_direct_path()
            elif not self._is_redirected:
                is_relayed = self._choice.relay is not None
                await anyio.sleep(
                    RELAYED_PROBE_INTERVAL_S if is_relayed else RETRY_DELAY_S
                )

    async def _probe_member(self) -> bool:
        """Call a member; return whether it answered as leader."""
        if not await self._finder.wait_any_connected(
            self._settings.call_timeout_s
        ):
            self._choice.record_no_member()
            return False
        self._finder.prefer_connected()
        client = self._finder.client
        # Only a leader that may grant leases looks for the process, and finds
        # none. The call has no effect.
        request = BorrowRequest(incarnation='', leader_term=0)
        try:
            payload = await client.call(
                BORROW_METHOD,
                encode_message(request),
                self._settings.call_timeout_s,
            )
            answer = decode_message(BorrowAnswer, payload)
        except SiskinsailError:
            self._is_redirected = False
            self._finder.record_failure(client)
            self._choice.record_direct_failure()
            return False
        if answer.status is Status.NOT_LEADER:
            self._choice.record_direct_refusal()
            self._follow_hint(client, answer.leader)
            return False
        self._finder.record_leader(client)
        return True

    def _use_direct_path(self) -> None:
        relay = self._choice.relay
        if relay is not None:
            self._end_relay(relay, 'member answered')
        self._choice.record_direct_answer()
        self._relay_caller.disconnect_all()
        self._direct_lost = anyio.Event()
        self._direct_found.set()

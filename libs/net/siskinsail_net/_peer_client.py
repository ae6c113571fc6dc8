"""Client side of the remote procedure calls (RPCs) between daemons."""

import secrets

import anyio
import anyio.abc

from siskinsail_budget import GroupName
from siskinsail_budget import MemoryBudget
from siskinsail_budget import Reservation
from siskinsail_telemetry import log_event
from siskinsail_types import Address
from siskinsail_types import CallTimeoutError
from siskinsail_types import Clock
from siskinsail_types import LimitExceededError
from siskinsail_types import PeerAuthenticationError
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import SystemClock
from siskinsail_types import TransportError
from siskinsail_types import VmId

from ._network import DISCONNECTED
from ._network import Network
from ._peer_frame import digests_equal
from ._peer_frame import Frame
from ._peer_frame import FrameKind
from ._peer_frame import FrameStream
from ._peer_frame import NONCE_BYTES
from ._peer_frame import peer_proof

RECONNECT_DELAY_S = 0.1
# Ten round trips between regions. TCP retransmits its SYN only after 1 s, so
# after the power loss of a machine, new attempts detect its return sooner.
CONNECT_TIMEOUT_S = 0.3
AUTHENTICATION_TIMEOUT_S = 1.0
# The peer answers each sync call within 0.4 s. Without this timeout, a
# connection that lost packets in a network partition waits for the TCP
# retransmission, which may come seconds to minutes after the partition heals.
READ_TIMEOUT_S = 2.0
# The first call after one that timed out has at least this time for its
# answer: the longest hold of a sync call and two round trips between regions.
MIN_READ_TIMEOUT_CHECK_S = 0.5


ANSWER_COPIES = 2
"""Copies of a response that exist while it is decoded."""


class AnswerDroppedError(SiskinsailError):
    """No memory was left for the answer of the peer.

    Parameters
    ----------
    size_bytes : int
        Memory that the answer would have needed.
    """

    def __init__(self, size_bytes: int) -> None:
        super().__init__('no memory is left for the answer')
        self.size_bytes = size_bytes


class PeerCallError(SiskinsailError):
    """The peer answered an RPC with an error.

    Parameters
    ----------
    error_type : str
        Name of the error class raised by the peer.
    message : str
        Text of the error.
    """

    def __init__(self, error_type: str, message: str) -> None:
        super().__init__(f'{error_type}: {message}')
        self.error_type = error_type
        self.message = message


class _PendingCall:
    def __init__(self, reservation: Reservation | None) -> None:
        self._reservation = reservation
        self.done = anyio.Event()
        self.response: Frame | None = None
        self.error: SiskinsailError | None = None

    def resolve(self, response: Frame) -> None:
        """End the call; drop the response if no memory is left for it."""
        size_bytes = len(response.payload) * ANSWER_COPIES
        if self._reservation is None or self._reservation.try_resize(
            size_bytes, passes_waiting=True
        ):
            self.response = response
        else:
            self.error = AnswerDroppedError(size_bytes)
        self.done.set()


class PeerClient:
    """RPC client of one other daemon, with automatic reconnection.

    All calls share one connection and may be answered in any order. ``run``
    must be running in a task.

    Parameters
    ----------
    network : Network
        Network that makes the connections.
    remote : Address
        Peer address of the other daemon.
    secret : Secret
        Secret shared by all daemons of the fleet.
    vm_id : VmId
        Name of this entry VM, sent to the peer.
    read_timeout_s : float
        Read timeout, in seconds: the connection is closed and made again
        when no frame arrives for this time although calls are pending.
    clock : Clock or None
        Source of time; the system clock by default.
    memory : MemoryBudget or None
        Memory budget of the process, for frames while they are received;
        None for no limit.
    """

    def __init__(
        self,
        network: Network,
        remote: Address,
        secret: Secret,
        vm_id: VmId,
        *,
        read_timeout_s: float = READ_TIMEOUT_S,
        clock: Clock | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = memory
        self._network = network
        self._read_timeout_s = read_timeout_s
        self._clock = clock or SystemClock()
        # Time of the first call that was sent after the last received frame.
        self._waiting_since_s: float | None = None
        self._remote = remote
        self._secret = secret
        self._vm_id = vm_id
        self._frames: FrameStream | None = None
        self._connected = anyio.Event()
        self._pending: dict[int, _PendingCall] = {}
        self._call_pending = anyio.Event()
        self._next_id = 1
        self._peer_id = VmId('')
        self._is_loss_logged = False
        self._connection_generation = 0
        self._failed_attempts = 0

    @property
    def remote(self) -> Address:
        """Peer address of the other daemon."""
        return self._remote

    @property
    def peer_id(self) -> VmId:
        """Name reported by the peer; empty before the first connection."""
        return self._peer_id

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established and authenticated."""
        return self._frames is not None

    @property
    def connection_generation(self) -> int:
        """Number of connections so far; identifies the current connection."""
        return self._connection_generation

    @property
    def failed_attempts(self) -> int:
        """Number of attempts to connect that failed since the last success."""
        return self._failed_attempts

    @property
    def unanswered_s(self) -> float:
        """Time for which the peer has answered none of the pending calls.

        Returns
        -------
        float
            Seconds since the first call after the last received frame; 0 if
            no call is pending.
        """
        if self._waiting_since_s is None or not self._pending:
            return 0.0
        return self._clock.now_s() - self._waiting_since_s

    async def wait_connected(self, timeout_s: float) -> bool:
        """Wait for the connection; return whether it is established."""
        with anyio.move_on_after(timeout_s):
            await self._connected.wait()
        return self.is_connected

    async def run(self) -> None:
        """Maintain the connection until cancelled."""
        while True:
            try:
                await self._connect_and_receive()
            except (SiskinsailError, TimeoutError, *DISCONNECTED) as error:
                self._failed_attempts += 1
                self._log_connection_loss(error)
            await anyio.sleep(RECONNECT_DELAY_S)

    async def call(
        self,
        method: str,
        payload: bytes,
        timeout_s: float,
        reservation: Reservation | None = None,
    ) -> bytes:
        """Call ``method`` and return the payload of the response.

        Parameters
        ----------
        reservation : Reservation or None
            Memory of the call, which is resized for the response; None for
            no limit.

        Raises
        ------
        AnswerDroppedError
            If there is no memory for the response.
        LimitExceededError
            If the call is too large to be sent.
        TransportError
            If the connection is lost before the response arrives.
        CallTimeoutError
            If no response arrives within ``timeout_s`` seconds.
        PeerCallError
            If the peer returns an error.
        """
        request_id = self._next_id
        self._next_id += 1
        pending = _PendingCall(reservation)
        starts_waiting = False
        try:
            with anyio.fail_after(timeout_s):
                await self._connected.wait()
                frames = self._frames
                if frames is None:
                    raise TransportError(f'{self._remote}: not connected')
                # A call that follows one that timed out must not restart the
                # read timeout.
                if self._waiting_since_s is None:
                    self._waiting_since_s = self._clock.now_s()
                    starts_waiting = True
                self._pending[request_id] = pending
                self._call_pending.set()
                await frames.send(
                    Frame(FrameKind.REQUEST, request_id, method, payload)
                )
                await pending.done.wait()
        except LimitExceededError:
            # Nothing was sent, so the peer owes no answer.
            if starts_waiting and len(self._pending) == 1:
                self._waiting_since_s = None
            raise
        except TimeoutError as error:
            raise CallTimeoutError(
                f'{self._remote}: timed out waiting for {method}'
            ) from error
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise TransportError(f'{self._remote}: connection lost') from error
        finally:
            self._pending.pop(request_id, None)
        return _response_payload(pending)

    def _log_connection_loss(self, error: Exception) -> None:
        """Log a lost connection or the first of several failed attempts."""
        if self._is_loss_logged:
            return
        self._is_loss_logged = True
        log_event(
            'peer_lost',
            peer=str(self._remote),
            reason=f'{type(error).__name__}: {error}',
        )

    async def _connect_and_receive(self) -> None:
        stream = await self._network.connect(self._remote, CONNECT_TIMEOUT_S)
        frames = FrameStream(stream)
        try:
            with anyio.fail_after(AUTHENTICATION_TIMEOUT_S):
                await self._authenticate(frames)
            if self._memory is not None:
                frames.accept_large_frames(
                    self._memory.reserve_nothing(
                        GroupName(f'peer {self._remote}')
                    )
                )
            self._frames = frames
            self._connection_generation += 1
            self._failed_attempts = 0
            self._waiting_since_s = None
            self._connected.set()
            self._is_loss_logged = False
            log_event('peer_connected', peer=str(self._remote))
            await self._receive(frames)
        finally:
            self._frames = None
            # Calls wait for the event until the first handshake succeeds.
            if self._connected.is_set():
                self._connected = anyio.Event()
            self._fail_pending()
            await frames.aclose()

    async def _receive(self, frames: FrameStream) -> None:
        receive_error: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_read_timeout, tasks.cancel_scope)
            try:
                while True:
                    frame = await frames.receive()
                    self._waiting_since_s = None
                    self._resolve_call(frame)
                    # Not kept while the next frame is awaited.
                    del frame
                    # The remaining pending calls wait from now on.
                    if self._pending:
                        self._waiting_since_s = self._clock.now_s()
            except (SiskinsailError, *DISCONNECTED) as error:
                # An error raised inside the task group would be wrapped in
                # an exception group.
                receive_error = error
                tasks.cancel_scope.cancel()
        raise receive_error or TransportError(
            f'{self._remote}: no frame received within the read timeout'
        )

    async def _watch_read_timeout(self, scope: anyio.CancelScope) -> None:
        while True:
            if not self._pending:
                self._call_pending = anyio.Event()
                await self._call_pending.wait()
            # A frame that arrives during the sleep restarts the timeout.
            remaining_s = self._read_timeout_s - self.unanswered_s
            min_check_s = min(
                MIN_READ_TIMEOUT_CHECK_S, self._read_timeout_s / 4
            )
            await anyio.sleep(max(remaining_s, min_check_s))
            if self.unanswered_s >= self._read_timeout_s:
                scope.cancel()
                return

    async def _authenticate(self, frames: FrameStream) -> None:
        client_nonce = secrets.token_bytes(NONCE_BYTES)
        await frames.send(
            Frame(FrameKind.CHALLENGE, 0, '', client_nonce, self._vm_id)
        )
        server_challenge = await frames.receive()
        frames.start_decompression()
        if server_challenge.kind is not FrameKind.CHALLENGE:
            raise ProtocolError(
                f'{self._remote} refused the connection: '
                f'{server_challenge.method}'
            )
        server_nonce = server_challenge.payload[:NONCE_BYTES]
        expected_proof = peer_proof(
            self._secret, 'server', client_nonce, server_nonce
        )
        if not digests_equal(
            server_challenge.payload[NONCE_BYTES:], expected_proof
        ):
            raise PeerAuthenticationError(
                f'{self._remote}: invalid proof of the fleet secret'
            )
        client_proof = peer_proof(
            self._secret, 'client', client_nonce, server_nonce
        )
        await frames.send(Frame(FrameKind.PROOF, 0, '', client_proof))
        frames.start_compression()
        self._peer_id = VmId(server_challenge.sender)

    def _resolve_call(self, frame: Frame) -> None:
        if frame.request_id == 0:
            raise ProtocolError(
                f'{self._remote} closed the connection: {frame.payload!r}'
            )
        # The call is removed here and not only when its task resumes.
        # Otherwise an answered call would still count as pending and would
        # start the read timeout.
        pending = self._pending.pop(frame.request_id, None)
        # The response to a call that has timed out is discarded.
        if pending is not None:
            pending.resolve(frame)

    def _fail_pending(self) -> None:
        for pending in self._pending.values():
            pending.error = TransportError(f'{self._remote}: connection lost')
            pending.done.set()


def _response_payload(pending: _PendingCall) -> bytes:
    if pending.error is not None:
        raise pending.error
    response = pending.response
    if response is None:
        raise TransportError('the call ended without a response')
    if response.kind is FrameKind.FAILURE:
        raise PeerCallError(response.method, response.payload.decode())
    return response.payload

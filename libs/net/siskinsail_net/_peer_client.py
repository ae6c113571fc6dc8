"""Client side of calls between daemons."""

import secrets

import anyio
import anyio.abc

from siskinsail_telemetry import log_event
from siskinsail_types import Address
from siskinsail_types import CallTimeoutError
from siskinsail_types import Clock
from siskinsail_types import PeerAuthenticationError
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import SystemClock
from siskinsail_types import TransportError
from siskinsail_types import VmId

from ._network import DISCONNECTED
from ._network import Network
from ._peer_frame import Frame
from ._peer_frame import FrameKind
from ._peer_frame import FrameStream
from ._peer_frame import is_same_digest
from ._peer_frame import NONCE_BYTES
from ._peer_frame import peer_proof

RECONNECT_DELAY_S = 0.1
# Ten round trips between regions. A machine without power answers nothing, and
# TCP repeats its first packet after a second only: a new attempt finds sooner
# that the machine is back.
CONNECT_TIMEOUT_S = 0.3
AUTHENTICATION_TIMEOUT_S = 1.0
# The peer answers each sync call within 0.4 s. Without a
# limit, a connection that lost packets in a network cut waits for TCP to send
# them again, which takes seconds to minutes after the cut has healed.
SILENCE_LIMIT_S = 2.0
SILENCE_CHECK_S = 0.25


class PeerCallError(SiskinsailError):
    """The peer answered a call with an error.

    Parameters
    ----------
    error_type : str
        Name of the error's type at the peer.
    message : str
        Its text.
    """

    def __init__(self, error_type: str, message: str) -> None:
        super().__init__(f'{error_type}: {message}')
        self.error_type = error_type
        self.message = message


class _PendingCall:
    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answer: Frame | None = None
        self.error: SiskinsailError | None = None


class PeerClient:
    """Calls one other daemon over one connection, made again when lost.

    Calls share the connection and may be answered in any order. ``run``
    must be running in a task.

    Parameters
    ----------
    network : Network
        How connections are made.
    remote : Address
        Peer address of the other daemon.
    secret : Secret
        The fleet secret.
    vm_id : VmId
        Name of this entry VM.
    silence_limit_s : float
        Time without any frame, while calls wait, after which the connection
        is made again.
    clock : Clock or None
        Source of time; the clock of the machine by default.
    """

    def __init__(
        self,
        network: Network,
        remote: Address,
        secret: Secret,
        vm_id: VmId,
        *,
        silence_limit_s: float = SILENCE_LIMIT_S,
        clock: Clock | None = None,
    ) -> None:
        self._network = network
        self._silence_limit_s = silence_limit_s
        self._clock = clock or SystemClock()
        # When the first call after the last received frame was sent.
        self._silent_since_s: float | None = None
        self._remote = remote
        self._secret = secret
        self._vm_id = vm_id
        self._frames: FrameStream | None = None
        self._connected = anyio.Event()
        self._pending: dict[int, _PendingCall] = {}
        self._calls_wait = anyio.Event()
        self._next_id = 1
        self._peer_id = VmId('')
        self._is_loss_logged = False
        self._connections_made = 0

    @property
    def remote(self) -> Address:
        """Peer address of the other daemon."""
        return self._remote

    @property
    def peer_id(self) -> VmId:
        """Name that the other daemon gave, empty before a connection."""
        return self._peer_id

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection."""
        return self._frames is not None

    @property
    def connections_made(self) -> int:
        """Number of connections so far; tells one from the next."""
        return self._connections_made

    async def run(self) -> None:
        """Keep the connection up until cancelled."""
        while True:
            try:
                await self._connect_and_receive()
            except (SiskinsailError, TimeoutError, *DISCONNECTED) as error:
                self._note_lost(error)
            await anyio.sleep(RECONNECT_DELAY_S)

    async def call(
        self, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Call ``method`` and return the payload of the answer.

        Raises
        ------
        TransportError
            If the connection is lost before the answer.
        CallTimeoutError
            If there is no answer within ``timeout_s`` seconds.
        PeerCallError
            If the peer answered with an error.
        """
        request_id = self._next_id
        self._next_id += 1
        pending = _PendingCall()
        try:
            with anyio.fail_after(timeout_s):
                await self._connected.wait()
                frames = self._frames
                if frames is None:
                    raise TransportError(f'{self._remote}: not connected')
                # Not restarted by calls that follow one that timed out.
                if self._silent_since_s is None:
                    self._silent_since_s = self._clock.now_s()
                self._pending[request_id] = pending
                self._calls_wait.set()
                await frames.send(
                    Frame(FrameKind.REQUEST, request_id, method, payload)
                )
                await pending.done.wait()
        except TimeoutError as error:
            raise CallTimeoutError(
                f'{self._remote}: no answer to {method}'
            ) from error
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise TransportError(f'{self._remote}: lost') from error
        finally:
            self._pending.pop(request_id, None)
        return _payload_of(pending)

    def _note_lost(self, error: Exception) -> None:
        """Log the loss of a connection, or the first failure to make one."""
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
            self._frames = frames
            self._connections_made += 1
            self._silent_since_s = None
            self._connected.set()
            self._is_loss_logged = False
            log_event('peer_connected', peer=str(self._remote))
            await self._receive(frames)
        finally:
            self._frames = None
            self._connected = anyio.Event()
            self._fail_pending()
            await frames.aclose()

    async def _receive(self, frames: FrameStream) -> None:
        ended: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._end_if_silent, tasks.cancel_scope)
            try:
                while True:
                    frame = await frames.receive()
                    self._silent_since_s = None
                    self._deliver(frame)
                    # Calls that are still waiting count from here.
                    if self._pending:
                        self._silent_since_s = self._clock.now_s()
            except (SiskinsailError, *DISCONNECTED) as error:
                # Raised inside the group, it would come out wrapped.
                ended = error
                tasks.cancel_scope.cancel()
        raise ended or TransportError(f'{self._remote}: silent')

    async def _end_if_silent(self, scope: anyio.CancelScope) -> None:
        while True:
            if not self._pending:
                self._calls_wait = anyio.Event()
                await self._calls_wait.wait()
            await anyio.sleep(min(SILENCE_CHECK_S, self._silence_limit_s / 4))
            since_s = self._silent_since_s
            if not self._pending or since_s is None:
                continue
            if self._clock.now_s() - since_s >= self._silence_limit_s:
                scope.cancel()
                return

    async def _authenticate(self, frames: FrameStream) -> None:
        nonce = secrets.token_bytes(NONCE_BYTES)
        await frames.send(
            Frame(FrameKind.CHALLENGE, 0, '', nonce, self._vm_id)
        )
        hello = await frames.receive()
        frames.decompress_received()
        if hello.kind is not FrameKind.CHALLENGE:
            raise ProtocolError(f'{self._remote} refused: {hello.method}')
        server_nonce = hello.payload[:NONCE_BYTES]
        wanted = peer_proof(self._secret, 'server', nonce, server_nonce)
        if not is_same_digest(hello.payload[NONCE_BYTES:], wanted):
            raise PeerAuthenticationError(f'{self._remote}: wrong proof')
        own = peer_proof(self._secret, 'client', nonce, server_nonce)
        await frames.send(Frame(FrameKind.PROOF, 0, '', own))
        frames.compress_sent()
        self._peer_id = VmId(hello.sender)

    def _deliver(self, frame: Frame) -> None:
        if frame.request_id == 0:
            raise ProtocolError(f'{self._remote}: {frame.payload!r}')
        # A call that is answered waits no longer: it must not count as
        # waiting until its task runs, or the silence seems to begin here.
        pending = self._pending.pop(frame.request_id, None)
        # The caller of a call that timed out is gone; its answer is dropped.
        if pending is not None:
            pending.answer = frame
            pending.done.set()

    def _fail_pending(self) -> None:
        for pending in self._pending.values():
            pending.error = TransportError(f'{self._remote}: lost')
            pending.done.set()


def _payload_of(pending: _PendingCall) -> bytes:
    if pending.error is not None:
        raise pending.error
    answer = pending.answer
    if answer is None:
        raise TransportError('the call ended without an answer')
    if answer.kind is FrameKind.FAILURE:
        raise PeerCallError(answer.method, answer.payload.decode())
    return answer.payload

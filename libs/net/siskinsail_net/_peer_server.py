"""Server side of calls between daemons: one task for each peer."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import secrets

import anyio
import anyio.abc

from siskinsail_telemetry import log_event
from siskinsail_types import Address
from siskinsail_types import PeerAuthenticationError
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import VmId

from ._network import DISCONNECTED
from ._network import Network
from ._network import serve_connections
from ._peer_frame import Frame
from ._peer_frame import FrameKind
from ._peer_frame import FrameStream
from ._peer_frame import is_same_digest
from ._peer_frame import NONCE_BYTES
from ._peer_frame import peer_proof

MAX_CALLS_IN_FLIGHT = 256
HANDSHAKE_TIMEOUT_S = 3.0

CallHandler = Callable[[VmId, bytes], Awaitable[bytes]]


class PeerServer:
    """Answers calls of other daemons.

    Parameters
    ----------
    network : Network
        How connections are accepted.
    secret : Secret
        The fleet secret that both sides must hold.
    vm_id : VmId
        Name of this entry VM.
    """

    def __init__(self, network: Network, secret: Secret, vm_id: VmId) -> None:
        self._network = network
        self._secret = secret
        self._vm_id = vm_id
        self._handlers: dict[str, CallHandler] = {}

    def register(self, method: str, handler: CallHandler) -> None:
        """Answer calls of ``method`` with ``handler(caller, payload)``.

        An error of type ``SiskinsailError`` raised by the handler reaches
        the caller as ``PeerCallError``.
        """
        self._handlers[method] = handler

    async def serve(
        self,
        local: Address,
        *,
        task_status: anyio.abc.TaskStatus[Address] = (
            anyio.TASK_STATUS_IGNORED
        ),
    ) -> None:
        """Serve until cancelled; report the bound address when started."""
        await serve_connections(
            self._network, local, self._serve_peer, task_status
        )

    async def _serve_peer(self, raw: anyio.abc.SocketStream) -> None:
        frames = FrameStream(self._network.accepted(raw))
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                caller = await self._authenticate(frames)
            await self._answer_calls(frames, caller)
        except ProtocolError as error:
            await self._report(frames, error)
        except (TimeoutError, *DISCONNECTED):
            pass
        finally:
            await frames.aclose()

    async def _authenticate(self, frames: FrameStream) -> VmId:
        hello = await frames.receive()
        if hello.kind is not FrameKind.CHALLENGE:
            raise PeerAuthenticationError('a challenge must come first')
        nonce = secrets.token_bytes(NONCE_BYTES)
        own = peer_proof(self._secret, 'server', hello.payload, nonce)
        await frames.send(
            Frame(FrameKind.CHALLENGE, 0, '', nonce + own, self._vm_id)
        )
        frames.compress_sent()
        proof = await frames.receive()
        wanted = peer_proof(self._secret, 'client', hello.payload, nonce)
        if not is_same_digest(proof.payload, wanted):
            raise PeerAuthenticationError('wrong proof of the fleet secret')
        frames.decompress_received()
        return VmId(hello.sender)

    async def _answer_calls(self, frames: FrameStream, caller: VmId) -> None:
        limiter = anyio.Semaphore(MAX_CALLS_IN_FLIGHT, fast_acquire=True)
        ended: Exception | None = None
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    request = await frames.receive()
                    await limiter.acquire()
                    tasks.start_soon(
                        self._answer, frames, caller, request, limiter
                    )
            except (ProtocolError, *DISCONNECTED) as error:
                # Raised inside the group, it would come out wrapped, pass
                # the handlers of the caller and stop the whole server.
                ended = error
            finally:
                tasks.cancel_scope.cancel()
        if ended is not None:
            raise ended

    async def _answer(
        self,
        frames: FrameStream,
        caller: VmId,
        request: Frame,
        limiter: anyio.Semaphore,
    ) -> None:
        try:
            answer = await self._run_handler(caller, request)
            await frames.send(answer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            limiter.release()

    async def _run_handler(self, caller: VmId, request: Frame) -> Frame:
        handler = self._handlers.get(request.method)
        if handler is None:
            message = f'unknown method {request.method!r}'
            return _failure(request.request_id, 'ProtocolError', message)
        try:
            payload = await handler(caller, request.payload)
        except SiskinsailError as error:
            return _failure(
                request.request_id, type(error).__name__, str(error)
            )
        return Frame(FrameKind.ANSWER, request.request_id, '', payload)

    async def _report(self, frames: FrameStream, error: ProtocolError) -> None:
        # A wrong fleet secret or version must be seen on this side too.
        log_event(
            'peer_refused', error=type(error).__name__, message=str(error)
        )
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            await frames.send(_failure(0, type(error).__name__, str(error)))


def _failure(request_id: int, error_type: str, message: str) -> Frame:
    return Frame(FrameKind.FAILURE, request_id, error_type, message.encode())

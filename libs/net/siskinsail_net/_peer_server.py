"""Server side of the RPCs between daemons, with one task per peer."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import secrets
from typing import NamedTuple

import anyio
import anyio.abc

from siskinsail_budget import GroupName
from siskinsail_budget import ProcessResources
from siskinsail_budget import Reservation
from siskinsail_budget import Role
from siskinsail_telemetry import log_event
from siskinsail_telemetry import record_unexpected_error
from siskinsail_types import Address
from siskinsail_types import LimitExceededError
from siskinsail_types import PeerAuthenticationError
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import SystemClock
from siskinsail_types import VmId

from ._admission import admitted
from ._network import DISCONNECTED
from ._network import Network
from ._network import serve_connections
from ._peer_frame import digests_equal
from ._peer_frame import Frame
from ._peer_frame import FrameKind
from ._peer_frame import FrameStream
from ._peer_frame import MAX_HANDSHAKE_BYTES
from ._peer_frame import NONCE_BYTES
from ._peer_frame import peer_proof

MAX_CALLS_IN_FLIGHT = 256
HANDSHAKE_TIMEOUT_S = 3.0
# Copies of a call and its answer that exist while it runs.
_CALL_COPIES = 2


class PeerAnswer(NamedTuple):
    """Answer to a call, with the memory that it takes until it is sent."""

    payload: bytes
    reservation: Reservation


CallHandler = Callable[[VmId, bytes], Awaitable[bytes | PeerAnswer]]


class _Response(NamedTuple):
    frame: Frame
    reservation: Reservation | None = None


class PeerServer:
    """RPC server for the other daemons.

    Parameters
    ----------
    network : Network
        Network that accepts the connections.
    secret : Secret
        Secret shared by all daemons of the fleet; both sides must prove that
        they know it.
    vm_id : VmId
        Name of this entry VM.
    resources : ProcessResources or None
        Limits of the process; None for no limits. The limit on connections
        is for peers that have not proved that they know the secret.
    """

    def __init__(
        self,
        network: Network,
        secret: Secret,
        vm_id: VmId,
        resources: ProcessResources | None = None,
    ) -> None:
        resources = resources or ProcessResources.unlimited(SystemClock())
        self._memory = resources.memory
        self._limit = resources.limits[Role.PEERS]
        self._network = network
        self._secret = secret
        self._vm_id = vm_id
        self._handlers: dict[str, CallHandler] = {}

    def register(self, method: str, handler: CallHandler) -> None:
        """Register ``handler(caller, payload)`` for calls of ``method``.

        The reservation of a ``PeerAnswer`` is closed when it was sent.
        A ``SiskinsailError`` raised by the handler is raised at the caller
        as ``PeerCallError``.
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
        """Serve until cancelled.

        ``task_status`` is started with the bound address once the server
        listens.
        """
        await serve_connections(
            self._network, local, self._serve_peer, task_status
        )

    async def _serve_peer(self, socket: anyio.abc.SocketStream) -> None:
        frames = FrameStream(
            self._network.wrap_accepted(socket), MAX_HANDSHAKE_BYTES
        )
        caller: VmId | None = None
        try:
            with admitted(self._limit, socket) as entry:
                if entry is not None:
                    with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                        caller = await self._authenticate(frames)
            if caller is None:
                return
            frames.accept_large_frames(
                self._memory.reserve_nothing(_group(caller))
            )
            await self._serve_calls(frames, caller)
        except ProtocolError as error:
            await self._refuse_peer(frames, error)
        except (TimeoutError, *DISCONNECTED):
            pass
        finally:
            await frames.aclose()

    async def _authenticate(self, frames: FrameStream) -> VmId:
        client_challenge = await frames.receive()
        if client_challenge.kind is not FrameKind.CHALLENGE:
            raise PeerAuthenticationError('the first frame is not a challenge')
        server_nonce = secrets.token_bytes(NONCE_BYTES)
        server_proof = peer_proof(
            self._secret, 'server', client_challenge.payload, server_nonce
        )
        await frames.send(
            Frame(
                FrameKind.CHALLENGE,
                0,
                '',
                server_nonce + server_proof,
                self._vm_id,
            )
        )
        frames.start_compression()
        proof = await frames.receive()
        expected_proof = peer_proof(
            self._secret, 'client', client_challenge.payload, server_nonce
        )
        if not digests_equal(proof.payload, expected_proof):
            raise PeerAuthenticationError('invalid proof of the fleet secret')
        frames.start_decompression()
        return VmId(client_challenge.sender)

    async def _serve_calls(self, frames: FrameStream, caller: VmId) -> None:
        in_flight = anyio.Semaphore(MAX_CALLS_IN_FLIGHT, fast_acquire=True)
        receive_error: Exception | None = None
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    request = await frames.receive()
                    await in_flight.acquire()
                    reservation = await self._reserve(caller, request)
                    tasks.start_soon(
                        self._handle_call,
                        frames,
                        caller,
                        request,
                        in_flight,
                        reservation,
                    )
                    # Not kept while the next call is awaited.
                    del request, reservation
            except (ProtocolError, *DISCONNECTED) as error:
                # An error raised inside the task group would be wrapped in
                # an exception group, which the except clauses of
                # _serve_peer do not match, and would stop the whole server.
                receive_error = error
            finally:
                tasks.cancel_scope.cancel()
        if receive_error is not None:
            raise receive_error

    async def _reserve(self, caller: VmId, request: Frame) -> Reservation:
        """Reserve memory for a call; no further one is read meanwhile.

        Raises
        ------
        LimitExceededError
            If there is none within the time limit.
        """
        reservation = self._memory.reserve_nothing(_group(caller))
        size_bytes = len(request.payload) + len(request.method)
        if not await reservation.resize(size_bytes * _CALL_COPIES):
            raise LimitExceededError('no memory is left for the call')
        return reservation

    async def _handle_call(
        self,
        frames: FrameStream,
        caller: VmId,
        request: Frame,
        in_flight: anyio.Semaphore,
        reservation: Reservation,
    ) -> None:
        try:
            answer = await self._run_handler(caller, request)
            try:
                await self._send_answer(frames, answer.frame)
            finally:
                if answer.reservation is not None:
                    answer.reservation.close()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            reservation.close()
            in_flight.release()

    async def _send_answer(self, frames: FrameStream, answer: Frame) -> None:
        """Send an answer, or the reason why it is too large to be sent.

        Nothing of it has been sent then, so the other calls on the connection
        go on.
        """
        try:
            await frames.send(answer)
        except LimitExceededError as error:
            log_event('peer_answer_too_large', reason=str(error))
            await frames.send(
                _failure_frame(
                    answer.request_id, type(error).__name__, str(error)
                )
            )

    async def _run_handler(self, caller: VmId, request: Frame) -> _Response:
        handler = self._handlers.get(request.method)
        if handler is None:
            message = f'unknown method {request.method!r}'
            return _Response(
                _failure_frame(request.request_id, 'ProtocolError', message)
            )
        try:
            answer = await handler(caller, request.payload)
        except SiskinsailError as error:
            return _Response(
                _failure_frame(
                    request.request_id, type(error).__name__, str(error)
                )
            )
        except Exception as error:
            # One call must not end the process and all other calls.
            record_unexpected_error('peer_call', error)
            return _Response(
                _failure_frame(
                    request.request_id, 'InternalError', 'internal error'
                )
            )
        if isinstance(answer, PeerAnswer):
            frame = _answer_frame(request.request_id, answer.payload)
            return _Response(frame, answer.reservation)
        return _Response(_answer_frame(request.request_id, answer))

    async def _refuse_peer(
        self, frames: FrameStream, error: ProtocolError
    ) -> None:
        # Logged so that a wrong fleet secret or protocol version is visible
        # on this side, too.
        log_event(
            'peer_refused', error=type(error).__name__, message=str(error)
        )
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            await frames.send(
                _failure_frame(0, type(error).__name__, str(error))
            )


def _group(caller: VmId) -> GroupName:
    return GroupName(f'peer {caller}')


def _answer_frame(request_id: int, payload: bytes) -> Frame:
    return Frame(FrameKind.ANSWER, request_id, '', payload)


def _failure_frame(request_id: int, error_type: str, message: str) -> Frame:
    return Frame(FrameKind.FAILURE, request_id, error_type, message.encode())

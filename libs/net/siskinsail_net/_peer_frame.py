"""Frames between daemons: a length prefix and a Cap'n Proto envelope."""

from enum import Enum
from enum import unique
import hashlib
import hmac
from pathlib import Path
import struct
from typing import Any
from typing import NamedTuple
import zlib

import anyio
import anyio.abc
import capnp

from siskinsail_budget import Reservation
from siskinsail_types import LimitExceededError
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import VersionMismatchError

from ._bounded_stream import PIECE_BYTES

PROTOCOL_VERSION = 3
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_HANDSHAKE_BYTES = 4096
"""Size limit of the frames of a peer that has not proved itself."""
NONCE_BYTES = 16
_LENGTH_PREFIX = struct.Struct('>I')
# A window of 4 KiB holds about twenty calls, whose ids and names repeat. With
# these parameters a connection needs 43 KiB of memory.
_WINDOW_BITS = 12
_COMPRESSION_MEMORY_LEVEL = 5
_COMPRESSION_LEVEL = 6
# Packing makes runs of zero bytes up to a thousand times smaller. Control
# messages become smaller by a third.
_MAX_UNPACKED_BYTES = 2 * MAX_FRAME_BYTES
_CAPNP_WORD_BYTES = 8
# Limits the memory that a small compressed input of a peer can allocate.
_MAX_INFLATED_CHUNK_BYTES = 256 * 1024
# A connection whose peer does not read a part of a frame in this time is
# closed.
_SEND_TIMEOUT_S = 2.0

capnp.remove_import_hook()
_schema: Any = capnp.load(str(Path(__file__).with_name('envelope.capnp')))


@unique
class FrameKind(Enum):
    """Kinds of frames; the values are the names in the schema."""

    CHALLENGE = 'challenge'
    PROOF = 'proof'
    REQUEST = 'request'
    ANSWER = 'answer'
    FAILURE = 'failure'


class Frame(NamedTuple):
    """One message between two daemons.

    ``request_id`` matches a response to its request. ``payload`` is a Cap'n
    Proto message whose schema depends on the method.
    """

    kind: FrameKind
    request_id: int
    method: str
    payload: bytes
    sender: str = ''


# Access by field object takes a quarter of the time of attribute access.
_FIELDS: dict[str, Any] = _schema.Envelope.schema.fields
_VERSION = _FIELDS['version']
_KIND = _FIELDS['kind']
_REQUEST_ID = _FIELDS['requestId']
_METHOD = _FIELDS['method']
_PAYLOAD = _FIELDS['payload']
_SENDER = _FIELDS['sender']
# RuntimeError is raised for an enum value that the schema does not define.
_DECODE_ERRORS = (capnp.KjException, LookupError, ValueError, RuntimeError)
_KINDS_BY_NAME = {kind.value: kind for kind in FrameKind}


def encode_frame(frame: Frame, version: int = PROTOCOL_VERSION) -> bytes:
    """Return an encoded frame with its length prefix."""
    builder = _schema.Envelope.new_message()
    set_field = builder._set_by_field
    set_field(_VERSION, version)
    set_field(_KIND, frame.kind.value)
    set_field(_REQUEST_ID, frame.request_id)
    set_field(_PAYLOAD, frame.payload)
    if frame.method:
        set_field(_METHOD, frame.method)
    if frame.sender:
        set_field(_SENDER, frame.sender)
    # Packing removes zero bytes, more than a third of a control message.
    envelope = bytes(builder.to_bytes_packed())
    if len(envelope) > MAX_FRAME_BYTES:
        raise LimitExceededError(
            f'frame of {len(envelope)} bytes exceeds the size limit'
        )
    return _LENGTH_PREFIX.pack(len(envelope)) + envelope


def decode_envelope(data: bytes) -> Frame:
    """Decode an envelope.

    Raises
    ------
    VersionMismatchError
        If the sender uses another protocol version.
    ProtocolError
        If the bytes are not a valid envelope.
    """
    try:
        # A message over the limit is refused before its memory is allocated.
        envelope = _schema.Envelope.from_bytes_packed(
            data,
            traversal_limit_in_words=_MAX_UNPACKED_BYTES // _CAPNP_WORD_BYTES,
        )
        get_field = envelope._get_by_field
        version = get_field(_VERSION)
        frame = Frame(
            _KINDS_BY_NAME[str(get_field(_KIND))],
            get_field(_REQUEST_ID),
            get_field(_METHOD),
            bytes(get_field(_PAYLOAD)),
            get_field(_SENDER),
        )
    except _DECODE_ERRORS as error:
        raise ProtocolError('invalid frame envelope') from error
    if version != PROTOCOL_VERSION:
        raise VersionMismatchError(
            f'peer uses protocol version {version}, not {PROTOCOL_VERSION}'
        )
    return frame


class FrameStream:
    """Sends and receives frames on a byte stream.

    Compression can be enabled for each direction after any frame. All later
    frames then form one compressed stream, so content that repeats between
    calls takes only a few bytes.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self._stream = stream
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        # Compressed bytes that are not yet decompressed.
        self._compressed = b''
        self._is_chunk_full = False
        self._reservation: Reservation | None = None
        # With fast_acquire, an uncontended lock does not yield to the event
        # loop.
        self._send_lock = anyio.Lock(fast_acquire=True)
        self._compressor: zlib._Compress | None = None
        self._decompressor: zlib._Decompress | None = None
        self._is_broken = False

    def start_compression(self) -> None:
        """Compress all frames sent from now on."""
        self._compressor = zlib.compressobj(
            _COMPRESSION_LEVEL,
            zlib.DEFLATED,
            -_WINDOW_BITS,
            _COMPRESSION_MEMORY_LEVEL,
        )

    def start_decompression(self) -> None:
        """Decompress all frames after those already received."""
        self._decompressor = zlib.decompressobj(-_WINDOW_BITS)
        data = bytes(self._buffer)
        self._buffer.clear()
        self._buffer_received(data)

    def accept_large_frames(self, reservation: Reservation) -> None:
        """Accept frames up to ``MAX_FRAME_BYTES`` from now on.

        Parameters
        ----------
        reservation : Reservation
            Reserves the memory of a frame while it is received.
        """
        self._max_frame_bytes = MAX_FRAME_BYTES
        self._reservation = reservation

    async def send(self, frame: Frame) -> None:
        """Send one complete frame."""
        async with self._send_lock:
            # Encoded frames that wait for their turn would take memory.
            data = encode_frame(frame)
            if self._compressor is None:
                await self._stream.send(data)
                return
            if self._is_broken:
                raise anyio.BrokenResourceError
            data = self._compressor.compress(data)
            data += self._compressor.flush(zlib.Z_SYNC_FLUSH)
            # Compressed data must be sent completely, even if the caller is
            # cancelled, since later frames refer to it.
            self._is_broken = True
            try:
                self._is_broken = not await self._send_in_time(data)
            finally:
                if self._is_broken:
                    with anyio.CancelScope(shield=True):
                        await self.aclose()
            if self._is_broken:
                raise anyio.BrokenResourceError

    async def _send_in_time(self, data: bytes) -> bool:
        """Send data; return False if the peer does not read a part in time.

        A large frame may take longer in total on a slow link. Then a caller
        that is cancelled does not wait for its end.
        """
        shield_end_s = anyio.current_time() + _SEND_TIMEOUT_S
        for start in range(0, len(data), PIECE_BYTES):
            is_shielded = anyio.current_time() < shield_end_s
            with anyio.move_on_after(
                _SEND_TIMEOUT_S, shield=is_shielded
            ) as scope:
                await self._stream.send(data[start : start + PIECE_BYTES])
            if scope.cancelled_caught:
                return False
        return True

    async def receive(self) -> Frame:
        """Receive one frame.

        Raises
        ------
        EndOfStream
            If the peer closed the connection.
        ProtocolError
            If the frame is too long or malformed.
        """
        while True:
            envelope = self._pop_envelope()
            if envelope is not None:
                if self._reservation is not None:
                    self._reservation.close()
                return decode_envelope(envelope)
            await self._reserve()
            if not self._decompress_next():
                self._buffer_received(await self._stream.receive())

    async def _reserve(self) -> None:
        """Reserve the memory of the frame that is being received."""
        if self._reservation is None or self._reservation.is_charged:
            return
        if not await self._reservation.resize(len(self._buffer)):
            raise LimitExceededError('no memory is left for the frame')
        if not self._reservation.is_charged:
            return
        # At once for the whole frame: frames that grew piece by piece could
        # all wait for each other.
        (size,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        frame_bytes = max(len(self._buffer), _LENGTH_PREFIX.size + size)
        if not await self._reservation.resize(frame_bytes):
            raise LimitExceededError('no memory is left for the frame')

    def _buffer_received(self, data: bytes) -> None:
        """Add received bytes to the buffer, decompressed if necessary."""
        if self._decompressor is None:
            self._buffer += data
            return
        self._compressed += data
        self._decompress_next()

    def _decompress_next(self) -> bool:
        """Decompress one chunk; return whether there was any."""
        decompressor = self._decompressor
        if decompressor is None:
            return False
        if not self._compressed and not self._is_chunk_full:
            return False
        try:
            chunk = decompressor.decompress(
                self._compressed, _MAX_INFLATED_CHUNK_BYTES
            )
        except zlib.error as error:
            raise ProtocolError('invalid compressed data') from error
        self._buffer += chunk
        self._compressed = decompressor.unconsumed_tail
        self._is_chunk_full = len(chunk) == _MAX_INFLATED_CHUNK_BYTES
        return True

    def _check_length(self) -> None:
        (size,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        if size > self._max_frame_bytes:
            raise LimitExceededError(
                f'frame of {size} bytes exceeds the size limit'
            )

    def _pop_envelope(self) -> bytes | None:
        """Remove and return the first complete envelope, or return None."""
        buffer = self._buffer
        if len(buffer) < _LENGTH_PREFIX.size:
            return None
        self._check_length()
        (size,) = _LENGTH_PREFIX.unpack_from(buffer)
        end = _LENGTH_PREFIX.size + size
        if len(buffer) < end:
            return None
        envelope = bytes(buffer[_LENGTH_PREFIX.size : end])
        del buffer[:end]
        return envelope

    async def aclose(self) -> None:
        """Close the stream without waiting for a graceful shutdown."""
        await anyio.aclose_forcefully(self._stream)


def peer_proof(
    secret: Secret, role: str, client_nonce: bytes, server_nonce: bytes
) -> bytes:
    """Return the proof that one side of a connection knows the fleet secret.

    Parameters
    ----------
    secret : Secret
        Secret shared by all daemons of the fleet.
    role : str
        ``client`` or ``server``. The roles differ so that a proof cannot be
        reflected to its sender.
    client_nonce, server_nonce : bytes
        Nonces of the client and of the server.
    """
    key = hashlib.blake2b(secret.reveal().encode(), digest_size=32).digest()
    message = role.encode() + client_nonce + server_nonce
    return hashlib.blake2b(message, key=key, digest_size=32).digest()


def digests_equal(left: bytes, right: bytes) -> bool:
    """Compare digests in constant time."""
    return hmac.compare_digest(left, right)

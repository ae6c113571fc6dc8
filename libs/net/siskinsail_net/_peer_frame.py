"""Frames between daemons: a length and a Cap'n Proto envelope."""

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

from siskinsail_types import LimitExceededError
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import VersionMismatchError

PROTOCOL_VERSION = 3
MAX_FRAME_BYTES = 4 * 1024 * 1024
NONCE_BYTES = 16
_LENGTH = struct.Struct('>I')
# The last 4 KiB hold some twenty calls, whose ids and names repeat. With these
# sizes a connection costs 43 KiB of memory.
_WINDOW_BITS = 12
_MEMORY_LEVEL = 5
_COMPRESSION_LEVEL = 6
# Bounds the memory that a few bytes of a peer can ask for.
_INFLATED_BYTES = 256 * 1024
# A peer that reads nothing for so long has lost the connection.
_SEND_LIMIT_S = 2.0

capnp.remove_import_hook()
_schema: Any = capnp.load(str(Path(__file__).with_name('envelope.capnp')))


@unique
class FrameKind(Enum):
    """Kinds of frames, named as in the schema."""

    CHALLENGE = 'challenge'
    PROOF = 'proof'
    REQUEST = 'request'
    ANSWER = 'answer'
    FAILURE = 'failure'


class Frame(NamedTuple):
    """One message between two daemons.

    ``request_id`` pairs an answer with its request; ``payload`` is a Cap'n
    Proto message of the method's own schema.
    """

    kind: FrameKind
    request_id: int
    method: str
    payload: bytes
    sender: str = ''


# Access by field takes a quarter of the time of access by attribute.
_FIELDS: dict[str, Any] = _schema.Envelope.schema.fields
_VERSION = _FIELDS['version']
_KIND = _FIELDS['kind']
_REQUEST_ID = _FIELDS['requestId']
_METHOD = _FIELDS['method']
_PAYLOAD = _FIELDS['payload']
_SENDER = _FIELDS['sender']
# A kind that the schema does not know raises RuntimeError.
_UNREADABLE = (capnp.KjException, LookupError, ValueError, RuntimeError)
_KINDS = {kind.value: kind for kind in FrameKind}


def encode_frame(frame: Frame, version: int = PROTOCOL_VERSION) -> bytes:
    """Return the bytes of a frame with its length in front."""
    builder = _schema.Envelope.new_message()
    put = builder._set_by_field
    put(_VERSION, version)
    put(_KIND, frame.kind.value)
    put(_REQUEST_ID, frame.request_id)
    put(_PAYLOAD, frame.payload)
    if frame.method:
        put(_METHOD, frame.method)
    if frame.sender:
        put(_SENDER, frame.sender)
    # Packing leaves out zero bytes, more than a third of a control message.
    envelope = bytes(builder.to_bytes_packed())
    if len(envelope) > MAX_FRAME_BYTES:
        raise LimitExceededError(f'frame of {len(envelope)} bytes')
    return _LENGTH.pack(len(envelope)) + envelope


def decode_envelope(data: bytes) -> Frame:
    """Read an envelope.

    Raises
    ------
    VersionMismatchError
        If the sender speaks another version.
    ProtocolError
        If the bytes are no envelope.
    """
    try:
        envelope = _schema.Envelope.from_bytes_packed(data)
        get = envelope._get_by_field
        version = get(_VERSION)
        frame = Frame(
            _KINDS[str(get(_KIND))],
            get(_REQUEST_ID),
            get(_METHOD),
            bytes(get(_PAYLOAD)),
            get(_SENDER),
        )
    except _UNREADABLE as error:
        raise ProtocolError('not a frame of this protocol') from error
    if version != PROTOCOL_VERSION:
        raise VersionMismatchError(
            f'peer speaks version {version}, not {PROTOCOL_VERSION}'
        )
    return frame


class FrameStream:
    """Sends and receives frames on a byte stream.

    Each direction may be compressed from some frame on, as one stream over
    all later frames: what calls repeat then costs a few bytes each time.
    """

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        # A free lock is taken without a turn of the event loop.
        self._send_lock = anyio.Lock(fast_acquire=True)
        self._deflater: zlib._Compress | None = None
        self._inflater: zlib._Decompress | None = None
        self._is_broken = False

    def compress_sent(self) -> None:
        """Compress the frames that are sent from now on."""
        self._deflater = zlib.compressobj(
            _COMPRESSION_LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL
        )

    def decompress_received(self) -> None:
        """Expect compressed frames after those that were received."""
        self._inflater = zlib.decompressobj(-_WINDOW_BITS)
        data = bytes(self._buffer)
        self._buffer.clear()
        self._take(data)

    async def send(self, frame: Frame) -> None:
        """Send one frame whole."""
        data = encode_frame(frame)
        async with self._send_lock:
            if self._deflater is None:
                await self._stream.send(data)
                return
            if self._is_broken:
                raise anyio.BrokenResourceError
            data = self._deflater.compress(data)
            data += self._deflater.flush(zlib.Z_SYNC_FLUSH)
            # What was compressed must be sent: later frames refer to it.
            self._is_broken = True
            with anyio.move_on_after(_SEND_LIMIT_S, shield=True):
                await self._stream.send(data)
                self._is_broken = False
            if self._is_broken:
                await self.aclose()
                raise anyio.BrokenResourceError

    async def receive(self) -> Frame:
        """Receive one frame.

        Raises
        ------
        EndOfStream
            If the other side closed the connection.
        ProtocolError
            If the frame is too long or malformed.
        """
        while True:
            envelope = self._take_envelope()
            if envelope is not None:
                return decode_envelope(envelope)
            self._take(await self._stream.receive())

    def _take(self, data: bytes) -> None:
        """Add received bytes to the buffer, decompressed if they must be."""
        inflater = self._inflater
        if inflater is None:
            self._buffer += data
            return
        try:
            while data:
                self._buffer += inflater.decompress(data, _INFLATED_BYTES)
                data = inflater.unconsumed_tail
                if len(self._buffer) > _LENGTH.size + MAX_FRAME_BYTES:
                    self._check_length()
        except zlib.error as error:
            raise ProtocolError('not a compressed frame') from error

    def _check_length(self) -> None:
        (size,) = _LENGTH.unpack_from(self._buffer)
        if size > MAX_FRAME_BYTES:
            raise LimitExceededError(f'frame of {size} bytes')

    def _take_envelope(self) -> bytes | None:
        """Return the first envelope received whole, if there is one."""
        buffer = self._buffer
        if len(buffer) < _LENGTH.size:
            return None
        self._check_length()
        (size,) = _LENGTH.unpack_from(buffer)
        end = _LENGTH.size + size
        if len(buffer) < end:
            return None
        envelope = bytes(buffer[_LENGTH.size : end])
        del buffer[:end]
        return envelope

    async def aclose(self) -> None:
        """Close the stream at once."""
        await anyio.aclose_forcefully(self._stream)


def peer_proof(
    secret: Secret, role: str, first_nonce: bytes, second_nonce: bytes
) -> bytes:
    """Return the proof that a side holds the fleet secret.

    Parameters
    ----------
    secret : Secret
        The fleet secret.
    role : str
        ``client`` or ``server``, so that a proof cannot be reflected.
    first_nonce, second_nonce : bytes
        Nonces of the client and of the server.
    """
    key = hashlib.blake2b(secret.reveal().encode(), digest_size=32).digest()
    text = role.encode() + first_nonce + second_nonce
    return hashlib.blake2b(text, key=key, digest_size=32).digest()


def is_same_digest(left: bytes, right: bytes) -> bool:
    """Compare digests in constant time."""
    return hmac.compare_digest(left, right)

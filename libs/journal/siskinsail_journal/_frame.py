"""Encoding of a file as a sequence of frames with checksums."""

import struct
from typing import NamedTuple
import zlib

from ._errors import DamagedRecordError

_HEADER = struct.Struct('>III')
_CHECKED_FIELDS = struct.Struct('>II')


class Frames(NamedTuple):
    """Payloads of the complete frames, and whether a torn frame follows."""

    payloads: list[bytes]
    is_torn: bool


def encode_frame(payload: bytes) -> bytes:
    """Return a frame: a header with length and checksums, and the payload.

    The header has its own checksum. Without it, a damaged length in the
    middle of a file would look like a torn frame at the end, and the
    acknowledged records after it would be dropped.
    """
    checked_fields = _CHECKED_FIELDS.pack(len(payload), zlib.crc32(payload))
    return (
        _HEADER.pack(
            len(payload), zlib.crc32(payload), zlib.crc32(checked_fields)
        )
        + payload
    )


def read_frames(data: bytes, file_name: str) -> Frames:
    """Decode the frames of a file.

    Parameters
    ----------
    data : bytes
        Content of the file.
    file_name : str
        Name of the file for error messages.

    Raises
    ------
    DamagedRecordError
        If a header or a frame before the last one is damaged.

    Notes
    -----
    Damage to the payload of the last frame cannot be distinguished from a
    torn write. Such a frame counts as torn even if it was synced.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _read_frame(data, offset, file_name)
        if payload is None:
            return Frames(payloads, True)
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return Frames(payloads, False)


def _read_frame(data: bytes, offset: int, file_name: str) -> bytes | None:
    """Return the payload at ``offset``, None for a torn last frame."""
    payload_start = offset + _HEADER.size
    if payload_start > len(data):
        return None
    size, payload_checksum, header_checksum = _HEADER.unpack_from(data, offset)
    if (
        zlib.crc32(_CHECKED_FIELDS.pack(size, payload_checksum))
        != header_checksum
    ):
        # A crash may extend the file with zero bytes instead of the data.
        if not data[offset:].strip(b'\0'):
            return None
        raise DamagedRecordError(
            f'{file_name}: damaged header at byte {offset}'
        )
    payload = data[payload_start : payload_start + size]
    if len(payload) == size and zlib.crc32(payload) == payload_checksum:
        return payload
    if payload_start + size >= len(data):
        return None
    raise DamagedRecordError(f'{file_name}: damaged record at byte {offset}')

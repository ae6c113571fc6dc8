"""Parts of a view, and digests by which two views are compared.

A new leader doesn't know which view a daemon has, since versions of earlier
leaders say nothing about the content. A daemon that registers therefore sends
digests of its view, and the leader sends only what differs. The parts are
divided into a fixed number of buckets, so that the digests of a large view are
as small as those of a small one.
"""

import hashlib
from typing import Any
import zlib

import msgspec

from siskinsail_catalogue import entry_key
from siskinsail_catalogue import View

PartKey = tuple[str, Any]
"""Kind and name of a part of a view."""

DIGEST_BYTES = 8
# Must change with the buckets or with the encoding of the digests.
_FORMAT = b'\x01'
# Each kind has buckets of its own. The list of serving daemons is empty in the
# first view of a leader and would otherwise make all buckets differ.
_FIRST_BUCKETS = {'entry': 0, 'group': 16, 'db': 20, 'daemon': 28}
_BUCKET_COUNTS = {'entry': 16, 'group': 4, 'db': 8, 'daemon': 4}
BUCKETS = sum(_BUCKET_COUNTS.values())

_encoder = msgspec.msgpack.Encoder()


def view_parts(view: View) -> dict[PartKey, Any]:
    """Return the parts of a view in their canonical order."""
    parts: dict[PartKey, Any] = {
        ('entry', entry_key(entry)): entry for entry in view.entries
    }
    parts.update((('group', group.group), group) for group in view.groups)
    parts.update((('db', server.database), server) for server in view.backends)
    parts.update((('daemon', daemon.vm), daemon) for daemon in view.daemons)
    return parts


def bucket(key: PartKey) -> int:
    """Return the number of the bucket of a part."""
    kind, name = key
    text = name
    if kind == 'entry':
        entry_kind, entry_name = name
        text = f'{entry_kind.value}/{entry_name}'
    offset = zlib.crc32(text.encode()) % _BUCKET_COUNTS[kind]
    return _FIRST_BUCKETS[kind] + offset


def view_digests(view: View) -> bytes:
    """Return the format and the digests of all buckets of a view."""
    hashes = [
        hashlib.blake2b(digest_size=DIGEST_BYTES) for _ in range(BUCKETS)
    ]
    for key, part in view_parts(view).items():
        hashes[bucket(key)].update(_encoder.encode(part))
    return _FORMAT + b''.join(one.digest() for one in hashes)


def is_comparable(digests: bytes) -> bool:
    """Return whether a program with the same buckets made the digests."""
    size = len(_FORMAT) + BUCKETS * DIGEST_BYTES
    return digests.startswith(_FORMAT) and len(digests) == size


def differing_buckets(left: bytes, right: bytes) -> frozenset[int]:
    """Return the buckets in which two views differ by their digests."""
    return frozenset(
        number
        for number in range(BUCKETS)
        if _digest(left, number) != _digest(right, number)
    )


def _digest(digests: bytes, number: int) -> bytes:
    start = len(_FORMAT) + number * DIGEST_BYTES
    return digests[start : start + DIGEST_BYTES]

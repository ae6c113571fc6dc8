"""Order of daemons that every daemon computes alike."""

from collections.abc import Sequence
import hashlib

from siskinsail_types import VmId

from ._view import ServingDaemon

_HASH_BYTES = 8


def hash_bytes(text: str) -> bytes:
    """Return the hash by which daemons are ranked."""
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()


def rank_daemons(
    daemons: Sequence[ServingDaemon], key: str
) -> list[ServingDaemon]:
    """Order daemons by rendezvous hashing of ``key``."""
    return sorted(
        daemons,
        key=lambda daemon: (_score(daemon.vm, key), daemon.vm),
        reverse=True,
    )


def _score(vm: VmId, key: str) -> bytes:
    return hash_bytes(f'{vm}/{key}')

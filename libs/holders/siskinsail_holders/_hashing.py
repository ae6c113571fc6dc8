"""Numbers that names are mapped to, equal in all daemons."""

import hashlib

_HASH_BYTES = 8


def hash_bytes(text: str) -> bytes:
    """Return the hash by which daemons are ranked."""
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()


def hash_fraction(text: str) -> float:
    """Return a number from 0 to below 1 that depends on the text only."""
    number = int.from_bytes(hash_bytes(text)) >> 11
    return float(number / 2 ** (8 * _HASH_BYTES - 11))

"""Numbers that names are mapped to, equal in all daemons."""

from siskinsail_catalogue import hash_bytes


def hash_fraction(text: str) -> float:
    """Return a number from 0 to below 1 that depends on the text only."""
    digest = hash_bytes(text)
    number = int.from_bytes(digest) >> 11
    return float(number / 2 ** (8 * len(digest) - 11))

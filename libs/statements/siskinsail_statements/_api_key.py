"""Digests of the API keys of callers."""

from siskinsail_catalogue import key_digest
from siskinsail_types import KeyDigest
from siskinsail_types import Secret


def api_key_digest(key: str) -> KeyDigest:
    """Return the digest of the API key of a caller."""
    return key_digest(Secret(key))

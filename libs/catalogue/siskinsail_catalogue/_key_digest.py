"""Digests of the API keys of callers."""

import hashlib

from siskinsail_types import KeyDigest
from siskinsail_types import Secret

_HASH_PERSONALIZATION = b'siskinsail-key'
_DIGEST_BYTES = 32


def key_digest(key: Secret) -> KeyDigest:
    """Return the digest under which a key is stored.

    Keys are long random strings, so a fast hash is sufficient. Since only
    the digest is looked up in a table, the lookup time reveals nothing about
    the key.
    """
    digest = hashlib.blake2b(
        key.reveal().encode(),
        digest_size=_DIGEST_BYTES,
        person=_HASH_PERSONALIZATION,
    )
    return KeyDigest(digest.hexdigest())

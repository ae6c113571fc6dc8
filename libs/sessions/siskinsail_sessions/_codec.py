"""Encoding and signing of session tokens."""

import base64
import binascii
import hashlib
import hmac

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_types import DECODE_ERRORS

from ._errors import ForeignTokenError
from ._errors import MalformedTokenError
from ._errors import TokenError
from ._session import MAX_POSITIONS
from ._session import Session

_HASH_PERSONALIZATION = b'siskinsail-sess'
_MAC_BYTES = 16
# Longer tokens are refused before they are decoded. A token with 16 positions
# and long service names is far shorter.
_MAX_TOKEN_LENGTH = 4096

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Session)


class TokenCodec:
    """Encodes sessions as signed tokens and verifies tokens.

    Parameters
    ----------
    secrets : tuple of bytes
        The first secret signs; all of them verify. A secret can therefore be
        rotated while tokens signed with the previous one are in use.

    Examples
    --------
    >>> codec = TokenCodec((b'secret',))
    >>> session = Session('s1', {'orders': (1, 7)}, 0)
    >>> codec.decode(codec.encode(session)).unwrap() == session
    True
    """

    def __init__(self, secrets: tuple[bytes, ...]) -> None:
        # Secrets are hashed, because a blake2b key has at most 64 bytes.
        self._keys = tuple(
            hashlib.blake2b(
                secret, digest_size=32, person=_HASH_PERSONALIZATION
            ).digest()
            for secret in secrets
        )

    def encode(self, session: Session) -> str:
        """Return the signed token of a session."""
        payload = _encoder.encode(session)
        signed = payload + _mac(self._keys[0], payload)
        return base64.urlsafe_b64encode(signed).decode()

    def decode(self, token: str) -> Result[Session, TokenError]:
        """Verify a token and return its session.

        Returns
        -------
        Success of Session
            If the signature and the session are valid.
        Failure of MalformedTokenError
            If the token is too long or not base64url, or if it does not
            contain a valid session.
        Failure of ForeignTokenError
            If none of the secrets signed the token.
        """
        if len(token) > _MAX_TOKEN_LENGTH:
            return Failure(MalformedTokenError('the token is too long'))
        try:
            signed = base64.b64decode(
                token.encode('ascii'), altchars=b'-_', validate=True
            )
        except (binascii.Error, UnicodeEncodeError):
            return Failure(MalformedTokenError('the token is not base64url'))
        payload = signed[:-_MAC_BYTES]
        mac = signed[-_MAC_BYTES:]
        if not any(
            hmac.compare_digest(_mac(key, payload), mac) for key in self._keys
        ):
            return Failure(
                ForeignTokenError(
                    'the token was not signed with a secret of this fleet'
                )
            )
        return _decode_session(payload)


def _decode_session(payload: bytes) -> Result[Session, TokenError]:
    try:
        session = _decoder.decode(payload)
    except DECODE_ERRORS:
        return Failure(
            MalformedTokenError('the token does not contain a session')
        )
    if len(session.positions) > MAX_POSITIONS:
        return Failure(MalformedTokenError('the token has too many positions'))
    return Success(session)


def _mac(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(
        payload, key=key, digest_size=_MAC_BYTES, person=_HASH_PERSONALIZATION
    ).digest()

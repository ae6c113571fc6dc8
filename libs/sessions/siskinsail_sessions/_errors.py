"""Errors of session tokens."""

from siskinsail_types import SiskinsailError


class TokenError(SiskinsailError):
    """A session token cannot be used."""


class MalformedTokenError(TokenError):
    """The token cannot be decoded, or it does not contain a session."""


class ForeignTokenError(TokenError):
    """The token was modified, or signed with a secret of another fleet."""


class TooManyPositionsError(TokenError):
    """A session needs more positions than a token can contain."""

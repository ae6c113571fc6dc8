"""Errors of calls to databases and of connection pools."""

from siskinsail_types import SiskinsailError


class DatabaseError(SiskinsailError):
    """A call to a database returned no result.

    Parameters
    ----------
    code : str
        Error code of the protocol, or the kind of the failure.
    message : str
        Text for people.
    """

    def __init__(self, code: str, message: str = '') -> None:
        super().__init__(message or code)
        self.code = code
        self.message = message or code


class DatabaseRefusalError(DatabaseError):
    """The database refused the unit before running any part of it."""


class StatementFailedError(DatabaseError):
    """A statement failed; no part of its unit took effect."""


class ConnectionFailedError(DatabaseError):
    """The connection failed or timed out; the outcome is unknown.

    Parameters
    ----------
    is_timeout : bool
        True if the time limit passed, False if the connection broke.
    """

    def __init__(self, message: str, *, is_timeout: bool = False) -> None:
        super().__init__('timeout' if is_timeout else 'lost', message)
        self.is_timeout = is_timeout


class PoolClosedError(SiskinsailError):
    """The pool is being closed, or its database has changed its role."""

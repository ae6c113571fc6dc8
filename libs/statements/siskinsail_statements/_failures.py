"""Failures of statements before or after they reached a database."""

from siskinsail_backend import DatabaseError


class PositionUnknownError(DatabaseError):
    """No recent position of the primary is known, so a replica cannot serve.

    The statement did not run.
    """

    def __init__(self) -> None:
        super().__init__(
            'position_unknown', 'no recent position of the primary is known'
        )


class UnansweredError(DatabaseError):
    """A statement was sent and not answered, so it may have run."""

    def __init__(self, message: str) -> None:
        super().__init__('unanswered', message)

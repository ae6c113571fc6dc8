"""Results of executed statements."""

from typing import NamedTuple

import msgspec

from siskinsail_types import Position


class ExecutionResult(NamedTuple):
    """Results of the statements of a request.

    Parameters
    ----------
    results : list of Raw
        JSON text of the result of each statement.
    position : Position
        Log position of the database at which the statements ran.
    confirmed : bool
        Whether a replica has the position too. Only then may a session token
        contain the position.
    """

    results: list[msgspec.Raw]
    position: Position
    confirmed: bool

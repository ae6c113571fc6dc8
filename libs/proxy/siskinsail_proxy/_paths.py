"""URL paths of the caller API."""

from enum import Enum
from enum import unique
from typing import NamedTuple


@unique
class Action(Enum):
    """Operation that a request path selects."""

    STATEMENTS = 'statements'
    OPEN = 'open'
    EXECUTE = 'execute'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


class RequestTarget(NamedTuple):
    """Action of a request path, and the name of its route or transaction."""

    action: Action
    name: str


_ROUTE_ACTIONS = {
    'statements': Action.STATEMENTS,
    'transactions': Action.OPEN,
}
_TRANSACTION_ACTIONS = {
    'statements': Action.EXECUTE,
    'commit': Action.COMMIT,
    'rollback': Action.ROLLBACK,
}
_PREFIXES = (
    ('/v1/routes/', _ROUTE_ACTIONS),
    ('/v1/transactions/', _TRANSACTION_ACTIONS),
)


def parse_path(path: str) -> RequestTarget | None:
    """Return the target of a path, None for an unknown path."""
    # Names may contain slashes.
    head, _, last = path.rpartition('/')
    for prefix, actions in _PREFIXES:
        if head.startswith(prefix) and len(head) > len(prefix):
            action = actions.get(last)
            return action and RequestTarget(action, head.removeprefix(prefix))
    return None

"""Storage of the known databases in the replicated log."""

import anyio

from ._commands import RememberDatabases
from ._leader_context import LeaderContext
from ._state import MAX_DEPARTED_DATABASES

# Changes are batched, so that databases that start together share a command.
_WRITE_INTERVAL_S = 1.0
# Keeps a command well below the size limit of the log.
_MAX_CHANGES_PER_COMMAND = 500


class MembershipPersistence:
    """Commits changes of the membership to the replicated log.

    After a restart of all control members the leader has received no
    announcements yet, and databases announce themselves only about once a
    second. Without the stored databases, daemons would know no database for
    that time.

    Parameters
    ----------
    context : LeaderContext
        State of the leader.
    """

    def __init__(self, context: LeaderContext) -> None:
        self._context = context

    def restore(self) -> None:
        """Load the databases that earlier leaders stored."""
        state = self._context.state
        self._context.membership.restore(
            state.databases.values(), state.departed.values()
        )

    async def run(self) -> None:
        """Commit changes until cancelled."""
        while True:
            await anyio.sleep(_WRITE_INTERVAL_S)
            command = self._changes()
            # If a command fails, the next one contains its changes again.
            if command is not None and self._context.holds_leader_lease:
                await self._context.propose(command)

    def _changes(self) -> RememberDatabases | None:
        persisted = self._context.state.databases
        members = self._context.membership.to_persist()
        changed = [
            server
            for database, server in members.items()
            if persisted.get(database) != server
        ]
        removed = [
            database for database in persisted if database not in members
        ]
        departed = [
            server
            for server in list(self._context.membership.departed.values())[
                -MAX_DEPARTED_DATABASES:
            ]
            if self._context.state.departed.get(server.database) != server
        ]
        if not changed and not removed and not departed:
            return None
        return RememberDatabases(
            tuple(changed[:_MAX_CHANGES_PER_COMMAND]),
            tuple(removed[:_MAX_CHANGES_PER_COMMAND]),
            tuple(departed[:_MAX_CHANGES_PER_COMMAND]),
        )

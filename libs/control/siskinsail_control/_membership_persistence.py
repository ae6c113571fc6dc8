"""Which databases there are, kept in the log for later leaders."""

import anyio

from ._commands import RememberDatabases
from ._leader_context import LeaderContext

# Databases that start together are written together.
_WRITE_INTERVAL_S = 1.0
# Keeps a command well below the limit of the log.
_MAX_CHANGES_PER_COMMAND = 500


class MembershipPersistence:
    """Writes changes of the members to the log.

    After a restart of all control members nobody has heard an announcement
    yet, and databases announce themselves only about once a second. Without
    the log, daemons would know no database for that long.

    Parameters
    ----------
    context : LeaderContext
        State of the leader.
    """

    def __init__(self, context: LeaderContext) -> None:
        self._context = context

    def restore(self) -> None:
        """Take what earlier leaders wrote, as a new leader."""
        databases = self._context.state.databases
        self._context.membership.restore(databases.values())

    async def run(self) -> None:
        """Write what changed, until cancelled."""
        while True:
            await anyio.sleep(_WRITE_INTERVAL_S)
            command = self._changes()
            # A command that fails is made again from what has not changed.
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
        if not changed and not removed:
            return None
        return RememberDatabases(
            tuple(changed[:_MAX_CHANGES_PER_COMMAND]),
            tuple(removed[:_MAX_CHANGES_PER_COMMAND]),
        )

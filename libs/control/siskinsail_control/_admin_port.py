"""Interface of the administration of databases that control uses."""

from enum import Enum
from enum import unique
from typing import Protocol

import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_types import DatabaseId
from siskinsail_types import LogIndex
from siskinsail_types import Term


@unique
class ProbeResult(Enum):
    """Result of a probe of a primary.

    ``NO_ANSWER`` stands for a timeout, and for an answer that does not tell
    the role of the database.
    """

    ALIVE = 'alive'
    NOT_PRIMARY = 'not_primary'
    REFUSED = 'refused'
    NO_ANSWER = 'silent'


class FencedDatabase(msgspec.Struct, frozen=True):
    """A database that adopted a term, with the end of its log."""

    server: BackendServer
    log_term: Term
    index: LogIndex

    @property
    def position(self) -> tuple[int, int]:
        """Position of the end of the log; the greatest one is promoted."""
        return self.log_term, self.index

    @property
    def database(self) -> DatabaseId:
        """Name of the database."""
        return self.server.database


class DatabaseAdmin(Protocol):
    """Probes, fences and promotes databases, and changes whom they follow."""

    async def probe(
        self, server: BackendServer, term: Term, timeout_s: float
    ) -> ProbeResult:
        """Check whether a database is the primary of ``term``."""
        ...

    async def fence(
        self, server: BackendServer, term: Term, *, stops_replication: bool
    ) -> FencedDatabase | None:
        """Have a database adopt ``term``; return None if it did not.

        For databases without such an order, this only reads the end of the
        log, and the daemon leases alone keep writes from the old primary.

        Parameters
        ----------
        stops_replication : bool
            Whether a replica must receive nothing more until a database is
            promoted or it follows a primary, since the receipt of a write
            acknowledges it. Databases that adopt a term always stop.
        """
        ...

    async def resume_replication(self, server: BackendServer) -> None:
        """Let a replica receive again from the primary that it had.

        Without effect on databases that adopted a term.
        """
        ...

    async def promote(self, server: BackendServer, term: Term) -> bool:
        """Promote a database to primary of ``term``.

        Returns
        -------
        bool
            False if the promotion failed or its outcome is unknown. A
            delayed order is refused once an order of a later term has run.
        """
        ...

    async def follow(
        self, server: BackendServer, term: Term, primary: BackendServer
    ) -> bool:
        """Have a database follow the primary of ``term``."""
        ...

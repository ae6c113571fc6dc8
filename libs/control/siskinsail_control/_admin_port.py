"""What control needs of the databases of a group and who promotes them."""

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
    """What a probe of a primary found."""

    ALIVE = 'alive'
    NOT_PRIMARY = 'not_primary'
    REFUSED = 'refused'
    SILENT = 'silent'


class FencedDatabase(msgspec.Struct, frozen=True):
    """A database that adopted a term, and where its log ends."""

    server: BackendServer
    log_term: Term
    index: LogIndex

    @property
    def position(self) -> tuple[int, int]:
        """Order in which databases are promoted."""
        return self.log_term, self.index

    @property
    def database(self) -> DatabaseId:
        """Name of the database."""
        return self.server.database


class DatabaseAdmin(Protocol):
    """Probes, fences, promotes and redirects databases."""

    async def probe(
        self, server: BackendServer, term: Term, timeout_s: float
    ) -> ProbeResult:
        """Ask a database whether it is the primary of ``term``."""
        ...

    async def fence(
        self, server: BackendServer, term: Term
    ) -> FencedDatabase | None:
        """Have a database adopt ``term``; None if it did not.

        Where databases take no such order, the caller relies on the leases
        of the daemons alone, and this only tells where the log ends.
        """
        ...

    async def promote(self, server: BackendServer, term: Term) -> bool:
        """Make a database the primary of ``term``.

        Returns
        -------
        bool
            False also where the outcome is unknown. An order that runs late
            is refused once one of a later term has run.
        """
        ...

    async def follow(
        self, server: BackendServer, term: Term, primary: BackendServer
    ) -> bool:
        """Have a database follow the primary of ``term``."""
        ...

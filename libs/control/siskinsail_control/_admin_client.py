"""Client of the administration ports of databases."""

from typing import Any

import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_net import fetch_json
from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import CallTimeoutError
from siskinsail_types import DatabaseRole
from siskinsail_types import LogIndex
from siskinsail_types import ProtocolError
from siskinsail_types import Term
from siskinsail_types import TransportError

from ._admin_port import FencedDatabase
from ._admin_port import ProbeResult


class _Fenced(msgspec.Struct):
    term: Term
    log_term: Term
    index: LogIndex


class _Status(msgspec.Struct):
    role: DatabaseRole
    term: Term


class AdminClient:
    """Probes, fences and promotes databases, and changes whom they follow.

    Parameters
    ----------
    network : Network
        Network that opens the connections.
    timeout_s : float
        Timeout of a call, in seconds.
    """

    def __init__(self, network: Network, timeout_s: float) -> None:
        self._network = network
        self._timeout_s = timeout_s

    async def probe(
        self, server: BackendServer, term: Term, timeout_s: float
    ) -> ProbeResult:
        """Check whether a database is the primary of ``term``."""
        try:
            status, body = await self._call(
                server, 'GET', '/v1/status', None, timeout_s
            )
            database_status = msgspec.convert(body, _Status)
        except CallTimeoutError:
            return ProbeResult.NO_ANSWER
        except (TransportError, ProtocolError, msgspec.ValidationError):
            return ProbeResult.REFUSED
        if status != 200:
            return ProbeResult.REFUSED
        if (
            database_status.role is DatabaseRole.PRIMARY
            and database_status.term == term
        ):
            return ProbeResult.ALIVE
        return ProbeResult.NOT_PRIMARY

    async def fence(
        self, server: BackendServer, term: Term, *, stops_replication: bool
    ) -> FencedDatabase | None:
        """Have a database adopt ``term``; return None if it did not."""
        try:
            status, body = await self._call(
                server, 'POST', '/v1/fence', {'term': term}
            )
            if status != 200:
                return None
            fenced = msgspec.convert(body, _Fenced)
        except (TransportError, ProtocolError, msgspec.ValidationError):
            return None
        if fenced.term != term:
            return None
        return FencedDatabase(server, fenced.log_term, fenced.index)

    async def resume_replication(self, server: BackendServer) -> None:
        """Do nothing, since a database does not leave its term."""

    async def promote(self, server: BackendServer, term: Term) -> bool:
        """Promote a database to primary of ``term``."""
        return await self._post(server, '/v1/promote', {'term': term})

    async def follow(
        self, server: BackendServer, term: Term, primary: BackendServer
    ) -> bool:
        """Have a database follow the primary of ``term``."""
        return await self._post(
            server,
            '/v1/follow',
            {'term': term, 'primary': primary.admin_address},
        )

    async def _post(
        self, server: BackendServer, path: str, value: dict[str, Any]
    ) -> bool:
        try:
            status, _ = await self._call(server, 'POST', path, value)
        except (TransportError, ProtocolError):
            return False
        return status == 200

    async def _call(
        self,
        server: BackendServer,
        method: str,
        path: str,
        value: dict[str, Any] | None,
        timeout_s: float | None = None,
    ) -> tuple[int, Any]:
        return await fetch_json(
            self._network,
            Address.parse(server.admin_address),
            method,
            path,
            value,
            timeout_s=timeout_s or self._timeout_s,
        )

"""Operator client that changes the catalogue and records its attempts."""

from pathlib import Path
from typing import Any
from uuid import uuid4

import anyio
import msgspec

from siskinsail_net import HttpClientConnection
from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import TransportError

from ._database_record import RecordWriter

RETRY_DELAY_S = 0.2


class OperatorRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of an operator to apply a change.

    Parameters
    ----------
    started_s, ended_s : float
        Start and end in seconds, on the clock that all processes of the
        machine share.
    status : int
        HTTP status; 0 if there was no response.
    """

    started_s: float
    ended_s: float
    operator: str
    request_id: str
    address: str
    puts: list[dict[str, Any]]
    deletes: list[dict[str, Any]]
    status: int
    answer: Any


class Operator:
    """Applies catalogue changes through the operator ports of entry VMs.

    Parameters
    ----------
    name : str
        Name of the operator in the history of changes.
    key : Secret
        Operator key.
    addresses : list of Address
        Addresses of operator ports; attempts use them in rotation.
    record_file : Path or None
        File to which an ``OperatorRecord`` is appended for each attempt.
    """

    def __init__(
        self,
        name: str,
        key: Secret,
        addresses: list[Address],
        network: Network,
        clock: Clock,
        record_file: Path | None = None,
    ) -> None:
        self._name = name
        self._key = key
        self._addresses = addresses
        self._network = network
        self._clock = clock
        self._records = RecordWriter(record_file)

    async def read(self, address: Address, path: str) -> Any:
        """Send a ``GET`` to one entry VM; return its JSON, None on failure."""
        status, body = await self._send(address, 'GET', path, None, 2.0)
        return body if status == 200 else None

    async def apply(
        self,
        puts: list[dict[str, Any]],
        deletes: list[dict[str, Any]] | None = None,
        *,
        wait_s: float = 5.0,
        timeout_s: float = 20.0,
        request_id: str | None = None,
    ) -> tuple[int, Any]:
        """Apply a change, with retries under the same request id.

        Failed attempts and server errors (5xx) are retried until
        ``timeout_s`` seconds have passed.

        Returns
        -------
        tuple of int and object
            Last HTTP status, or 0 if there was no response, and the body.
        """
        body = {
            'request_id': request_id or uuid4().hex,
            'operator': self._name,
            'puts': puts,
            'deletes': deletes or [],
            'wait_s': wait_s,
        }
        retry_until_s = self._clock.now_s() + timeout_s
        attempt = 0
        while True:
            address = self._addresses[attempt % len(self._addresses)]
            status, answer = await self._attempt_apply(
                address, body, wait_s + 2
            )
            if 0 < status < 500 or self._clock.now_s() >= retry_until_s:
                return status, answer
            attempt += 1
            await anyio.sleep(RETRY_DELAY_S)

    async def change(
        self, kind: str, name: str, *, timeout_s: float = 20.0, **spec: Any
    ) -> tuple[int, Any]:
        """Change fields of one entry at its current version."""
        entry = await self.entry(kind, name)
        return await self.apply([entry | spec], timeout_s=timeout_s)

    async def entry(self, kind: str, name: str) -> dict[str, Any]:
        """Return the current state of an entry.

        Raises
        ------
        ProtocolError
            If no entry VM returns the entry.
        """
        for address in self._addresses:
            body = await self.read(address, '/v1/catalogue')
            for entry in _catalogue_entries(body):
                if (entry['kind'], entry['name']) == (kind, name):
                    return entry
        raise ProtocolError(f'unknown {kind} {name}')

    async def _attempt_apply(
        self, address: Address, body: dict[str, Any], timeout_s: float
    ) -> tuple[int, Any]:
        started_s = self._clock.now_s()
        status, answer = await self._send(
            address, 'POST', '/v1/catalogue/apply', body, timeout_s
        )
        self._records.write(
            OperatorRecord(
                started_s=started_s,
                ended_s=self._clock.now_s(),
                operator=self._name,
                request_id=body['request_id'],
                address=str(address),
                puts=body['puts'],
                deletes=body['deletes'],
                status=status,
                answer=answer,
            )
        )
        return status, answer

    async def _send(
        self,
        address: Address,
        method: str,
        path: str,
        value: Any,
        timeout_s: float,
    ) -> tuple[int, Any]:
        headers = {'authorization': f'Bearer {self._key.reveal()}'}
        body = b'' if value is None else msgspec.json.encode(value)
        try:
            connection = await HttpClientConnection.connect(
                self._network, address, min(timeout_s, 1.0)
            )
            try:
                response = await connection.request(
                    method,
                    path,
                    body=body,
                    headers=headers,
                    timeout_s=timeout_s,
                )
            finally:
                await connection.aclose()
            return response.status, msgspec.json.decode(response.body)
        except (TransportError, ProtocolError, msgspec.DecodeError) as error:
            return 0, str(error)


def _catalogue_entries(body: Any) -> list[dict[str, Any]]:
    value = body.get('entries', []) if isinstance(body, dict) else body or []
    return list(value)

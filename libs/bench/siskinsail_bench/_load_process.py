"""Closed-loop load generator that runs in its own process."""

import os
from typing import Any
from uuid import uuid4

import anyio
import msgspec

from siskinsail_net import HttpClientConnection
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import SystemClock

from ._report_table import new_latency_histogram
from ._workload import ORDERS

API_KEY_VARIABLE = 'SISKINSAIL_BENCH_KEY'
TIMEOUT_S = 5.0


class LoadResult(msgspec.Struct, frozen=True):
    """Result of a load process.

    Parameters
    ----------
    histogram : str
        Encoded HDR histogram of latencies in microseconds.
    """

    answered: int
    failed: int
    elapsed_s: float
    histogram: str


async def run_closed_loop(
    address: Address,
    path: str,
    seconds: float,
    connections: int,
    reads_per_request: int,
) -> LoadResult:
    """Send requests in sequence on each of several connections.

    The API key is taken from the environment. Without a key, the requests
    use the protocol of a database instead of that of an entry VM.

    Parameters
    ----------
    seconds : float
        Duration of the load.
    reads_per_request : int
        Number of read statements in each request.
    """
    load = _ClosedLoop(address, path, reads_per_request)
    clock = SystemClock()
    started_s = clock.now_s()
    async with anyio.create_task_group() as tasks:
        for _ in range(connections):
            tasks.start_soon(load.run, started_s + seconds)
    return LoadResult(
        load.answered,
        load.failed,
        clock.now_s() - started_s,
        load.histogram.encode().decode(),
    )


class _ClosedLoop:
    def __init__(
        self, address: Address, path: str, reads_per_request: int
    ) -> None:
        self._address = address
        self._path = path
        key = os.environ.get(API_KEY_VARIABLE, '')
        self._headers = {'authorization': f'Bearer {key}'} if key else {}
        read = {'op': 'get', 'table': ORDERS, 'key': 'bench'}
        self._body: dict[str, Any] = {'statements': [read] * reads_per_request}
        if key:
            self._headers['siskinsail-max-age'] = '5'
        else:
            self._body |= {'read_only': True, 'max_age_s': 5.0}
        self._clock = SystemClock()
        self.answered = 0
        self.failed = 0
        self.histogram = new_latency_histogram()

    async def run(self, end_s: float) -> None:
        """Send requests on one connection until ``end_s``."""
        connection = await HttpClientConnection.connect(
            TcpNetwork(), self._address, TIMEOUT_S
        )
        while (started_s := self._clock.now_s()) < end_s:
            body = self._body
            if not self._headers:
                body = body | {'request_id': uuid4().hex}
            response = await connection.request(
                'POST',
                self._path,
                body=msgspec.json.encode(body),
                headers=self._headers,
                timeout_s=TIMEOUT_S,
            )
            elapsed_s = self._clock.now_s() - started_s
            if response.status == 200:
                self.answered += 1
                self.histogram.record_value(max(1, int(elapsed_s * 1e6)))
            else:
                self.failed += 1
        await connection.aclose()

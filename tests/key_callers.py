"""Callers that authenticate with keys, and the withdrawal of keys."""

from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
from control_side import CLOCK
import msgspec
from scenario import IN_FORCE_S

from siskinsail_net import HttpClientConnection
from siskinsail_types import ProtocolError
from siskinsail_types import TransportError

READ_INTERVAL_S = 0.03
# The maximum data age of the route ``public-fresh``.
FRESH_AGE_S = 2.0
# Long enough for an attempt at an unreachable database and a retry elsewhere.
READ_DEADLINE_MS = '3000'


@dataclass(frozen=True)
class Reply:
    """One answer; ``code`` is ``done`` or the code of the error.

    ``connection`` is the number of the connection, counted from 1.
    """

    started_s: float
    answered_s: float
    connection: int
    code: str
    results: tuple


class KeepAliveCaller:
    """Sends requests to one entry VM and keeps its connection open.

    A connection that was closed is replaced at the next request.

    Parameters
    ----------
    scenario : Scenario
        The fleet.
    vm : EntryVm
        The entry VM. The caller connects from the same data centre.
    key : Secret or None
        The key that it authenticates with, None for no key.
    number : int
        Number of the caller's address in the data centre.
    """

    def __init__(self, scenario, vm, key, number=1):
        self._address = scenario.fleet.address(vm.name, 'client')
        self._network = scenario.fleet.caller_network(
            vm.data_centre.name, number
        )
        self._connection = None
        self._connections_opened = 0
        self.key = key
        self.vm = vm
        self.replies = []

    async def connect(self):
        if self._connection is None or not self._connection.is_open:
            self._connection = await HttpClientConnection.connect(
                self._network, self._address, 1.0
            )
            self._connections_opened += 1

    async def post(self, path, value, key=None, headers=None):
        """Return code, body and headers of one request."""
        await self.connect()
        presented = key or self.key
        request_headers = dict(headers or {})
        if presented is not None:
            request_headers['authorization'] = f'Bearer {presented.reveal()}'
        response = await self._connection.request(
            'POST',
            path,
            body=msgspec.json.encode(value),
            headers=request_headers,
            timeout_s=5.0,
        )
        body = msgspec.json.decode(response.body)
        code = 'done' if response.status == 200 else body['error']['code']
        return code, body, response.headers

    async def read(self, route):
        """Send one read and record the reply."""
        started_s = CLOCK.now_s()
        statement = {'op': 'get', 'table': 'orders', 'key': 'account-1/none'}
        try:
            code, body, _ = await self.post(
                f'/v1/routes/{route}/statements',
                {'statements': [statement]},
                headers={'siskinsail-deadline': READ_DEADLINE_MS},
            )
        except (TransportError, ProtocolError):
            code, body = 'connection_lost', {}
        reply = Reply(
            started_s,
            CLOCK.now_s(),
            self._connections_opened,
            code,
            tuple(body.get('results', ())),
        )
        self.replies.append(reply)
        return reply

    async def read_repeatedly(self, route):
        while True:
            await self.read(route)
            await anyio.sleep(READ_INTERVAL_S)

    def codes(self, after_s, until_s=float('inf')):
        """Return the codes of requests that started in a time range."""
        return {
            reply.code
            for reply in self.replies
            if after_s < reply.started_s < until_s
        }

    def codes_answered(self, after_s, until_s):
        """Return the codes of requests that ran within a time range.

        What holds until a time need not hold for a request that a daemon
        receives or answers later.
        """
        return {
            reply.code
            for reply in self.replies
            if after_s < reply.started_s and reply.answered_s < until_s
        }


async def add_routes(scenario):
    """Add one read route that needs a key and two that need none."""
    head = {
        'kind': 'route',
        'owner': 'platform',
        'version': 0,
        'service': scenario.service,
        'mode': 'read',
    }
    status, body = await scenario.operator.apply(
        [
            head | {'name': 'archive', 'max_age_s': 600},
            head | {'name': 'public', 'max_age_s': 20, 'access': 'open'},
            head
            | {
                'name': 'public-fresh',
                'max_age_s': FRESH_AGE_S,
                'access': 'open',
            },
        ]
    )
    assert status == 200, body
    assert body['in_force']


async def withdraw(scenario, key_name, vms=None):
    """Withdraw a key and return when the operator received the answer."""
    operator = scenario.fleet.operator('withdrawing', vms)
    entry = await operator.entry('key', key_name)
    status, body = await operator.apply(
        [entry | {'state': 'withdrawn'}], wait_s=0
    )
    assert status == 200, body
    return CLOCK.now_s()


def key_name(scenario, number=0):
    return scenario.clients[number].account.key_digest


async def wait_until_time(scenario, time_s):
    async def is_past():
        return CLOCK.now_s() > time_s

    left_s = max(0.0, time_s - CLOCK.now_s())
    await scenario.fleet.wait_until(is_past, left_s + 5, 'the end of a wait')


async def data_centre_of_replica(scenario):
    """Return a data centre whose database is a replica.

    A primary that is cut off serves no reads after its lease has ended, since
    it may hold writes that no replica has confirmed.
    """
    fleet = scenario.fleet

    async def has_primary():
        return await fleet.primary_of(scenario.service) is not None

    await fleet.wait_until(has_primary, IN_FORCE_S, 'a primary')
    primary = await fleet.primary_of(scenario.service)
    return next(
        database.data_centre.name
        for database in fleet.deployment.databases
        if database.name != primary
    )


@asynccontextmanager
async def reading(callers, route):
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(caller.read_repeatedly, route)
        yield
        tasks.cancel_scope.cancel()


async def wait_for_codes(scenario, callers, codes, timeout_s=10):
    async def seen():
        return all(
            caller.replies and caller.replies[-1].code in codes
            for caller in callers
        )

    await scenario.fleet.wait_until(seen, timeout_s, f'{codes}')


def callers_on_every_vm(scenario, key, number=1):
    return [
        KeepAliveCaller(scenario, vm, key, number)
        for vm in scenario.fleet.deployment.vms
    ]

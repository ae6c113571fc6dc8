"""Group of three stand-in databases that announce themselves."""

import anyio

from siskinsail_bench import DatabaseServer
from siskinsail_bench import DatabaseSettings
from siskinsail_net import FaultNetwork
from siskinsail_net import fetch_json
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import DatabaseRole
from siskinsail_types import GroupPhase

from .conftest import wait_until

NAMES = ('db0', 'db1', 'db2')
# Started by a test in place of another one.
SPARE_NAMES = ('db3',)


class DatabaseGroup:
    """Databases of service ``s``; ``db0`` starts as primary of term 1."""

    def __init__(self, fleet, operators, fault_table=None) -> None:
        self._fleet = fleet
        self._operators = operators
        self._fault_table = fault_table
        self.servers: dict[str, DatabaseServer] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}

    async def start(self) -> None:
        primary = None
        for name in NAMES:
            await self.start_one(name, primary)
            primary = primary or self.servers[name].admin_address

    async def start_one(self, name: str, primary: Address | None) -> None:
        role = DatabaseRole.REPLICA if primary else DatabaseRole.PRIMARY
        host = self.host(name)
        settings = DatabaseSettings(
            address=Address(host, 0),
            admin_address=Address(host, 0),
            database=name,
            group='s',
            data_centre=name,
            operators=self._operators,
            role=role,
            primary=primary,
        )
        network = TcpNetwork(host)
        if self._fault_table is not None:
            network = FaultNetwork(host, self._fault_table)
        server = DatabaseServer(settings, network, self._fleet.clock)
        self.servers[name] = server
        self._scopes[name] = anyio.CancelScope()
        await self._fleet.tasks.start(self._serve, server, name)

    async def _serve(self, server, name, *, task_status) -> None:
        with self._scopes[name]:
            await server.serve(task_status=task_status)

    def host(self, name: str) -> str:
        number = (NAMES + SPARE_NAMES).index(name) + 1
        return f'127.5.{number}.1'

    def kill(self, name: str) -> None:
        self._scopes[name].cancel()

    async def write(self, name: str, term: int, request_id: str, **fields):
        statement = {'op': 'add', 'table': 't', 'key': 'k', 'value': 1}
        return await fetch_json(
            self._fleet.network,
            self.servers[name].address,
            'POST',
            '/v1/execute',
            {
                'request_id': request_id,
                'statements': [statement],
                'read_only': False,
                'term': term,
                'wait_replicas': 1,
                'wait_ms': 1000,
                **fields,
            },
            timeout_s=3,
        )


def group_state(agent):
    return agent.view.group_states.get('s')


async def wait_steady(agent, *, not_primary: str = '', after_term: int = 0):
    def is_steady() -> bool:
        state = group_state(agent)
        return (
            state is not None
            and state.phase is GroupPhase.STEADY
            and state.primary not in (None, not_primary)
            and state.term > after_term
        )

    await wait_until(is_steady)
    return group_state(agent)

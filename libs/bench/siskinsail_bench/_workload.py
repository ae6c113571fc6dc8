"""Workload of sessions that place orders and read them back."""

from dataclasses import dataclass
from dataclasses import field
import secrets
from typing import Any

import anyio

from siskinsail_catalogue import key_digest
from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import SystemClock

from ._caller import Caller
from ._caller import CallerSettings
from ._caller import CallResult
from ._deployment import Account
from ._fleet import Fleet

ORDERS = 'orders'
COUNTS = 'counts'
RETRY_S = 8.0


@dataclass(frozen=True)
class Client:
    """A client account and the API key of its sessions."""

    account: Account
    key: Secret


def make_clients(
    count: int, rate: float = 300.0, burst: float = 300.0
) -> list[Client]:
    """Return client accounts with random keys."""
    clients = []
    for number in range(1, count + 1):
        key = Secret(secrets.token_urlsafe(24))
        account = Account(
            f'account-{number}', rate, burst, str(key_digest(key))
        )
        clients.append(Client(account, key))
    return clients


@dataclass
class OutcomeCounts:
    """Outcomes and latencies of the requests of a session."""

    answered: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    latencies_s: list[float] = field(default_factory=list)

    def add(self, answer: CallResult) -> None:
        """Add the outcome of a request."""
        if answer.is_answered:
            self.answered += 1
            self.latencies_s.append(answer.elapsed_s)
        else:
            outcome = f'{answer.code} ({answer.outcome.value})'
            self.refused[outcome] = self.refused.get(outcome, 0) + 1


class Session:
    """One session of a client that places orders at one service.

    Parameters
    ----------
    fleet : Fleet
        Fleet that receives the requests.
    client : Client
        Client account and key of the session.
    name : str
        Name of the session and of its record file.
    service : str
        Service whose routes the session uses.
    data_centre : str
        Data centre of the caller.
    address : Address or None
        Address of an entry VM; None for the balancer.
    number : int
        Last octet of the IP address of the caller.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: Client,
        name: str,
        service: str,
        data_centre: str,
        address: Address | None = None,
        number: int = 1,
    ) -> None:
        self._account = client.account.name
        self._name = name
        self._service = service
        self._order_count = 0
        self.outcome_counts = OutcomeCounts()
        self.caller = Caller(
            CallerSettings(
                session=name,
                account=self._account,
                key=client.key,
                address=address or fleet.balancer_address,
                retry_s=RETRY_S,
            ),
            fleet.caller_network(data_centre, number),
            SystemClock(),
            fleet.records / f'caller-{name}.jsonl',
        )

    @property
    def service(self) -> str:
        """Service whose routes the session uses."""
        return self._service

    @property
    def last_order(self) -> str:
        """Key of the most recent order."""
        return self._order_key(self._order_count)

    async def place_order(self) -> CallResult:
        """Place the next order with an idempotency key."""
        self._order_count += 1
        order = self.last_order
        statements: list[dict[str, Any]] = [
            {
                'op': 'insert',
                'table': ORDERS,
                'key': order,
                'value': {'containers': self._order_count},
            },
            {
                'op': 'add',
                'table': COUNTS,
                'key': f'{self._account}/{self._name}',
                'value': 1,
            },
        ]
        answer = await self.caller.run(
            f'{self._service}-write',
            statements,
            idempotency_key=f'{self._name}-{self._order_count}',
        )
        self.outcome_counts.add(answer)
        return answer

    async def read_history(self) -> CallResult:
        """Read the last order and the order count on the history route."""
        answer = await self.caller.run(
            f'{self._service}-history',
            [
                {'op': 'get', 'table': ORDERS, 'key': self.last_order},
                {
                    'op': 'get',
                    'table': COUNTS,
                    'key': f'{self._account}/{self._name}',
                },
            ],
        )
        self.outcome_counts.add(answer)
        return answer

    async def write_in_transaction(self) -> bool:
        """Write two rows in one transaction; tell whether it committed."""
        begin_answer = await self.caller.begin(f'{self._service}-transaction')
        if not begin_answer.is_answered:
            return False
        for part in ('amended', 'confirmed'):
            key = f'{self._account}/{self._name}/{part}'
            statement_answer = await self.caller.run_in_transaction(
                begin_answer.transaction,
                [{'op': 'put', 'table': ORDERS, 'key': key, 'value': part}],
            )
            if not statement_answer.is_answered:
                return False
        commit_answer = await self.caller.commit(
            begin_answer.transaction, idempotency_key=f'{self._name}-amend'
        )
        return commit_answer.is_answered

    async def run_load(self, stop: anyio.Event, pause_s: float) -> None:
        """Place an order and read it, in a loop, until ``stop`` is set."""
        while not stop.is_set():
            await self.place_order()
            await self.read_history()
            await anyio.sleep(pause_s)

    def _order_key(self, number: int) -> str:
        return f'{self._account}/{self._name}/{number:06d}'

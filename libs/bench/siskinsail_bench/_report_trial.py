"""The fleet, client accounts and load that measurements of a report share."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
import random
import secrets

import anyio

from siskinsail_catalogue import key_digest
from siskinsail_types import Clock
from siskinsail_types import Secret

from ._deployment import Account
from ._deployment import catalogue_puts
from ._fleet import Fleet
from ._load_stream import LoadStream
from ._load_stream import Sample
from ._load_stream import StreamSettings
from ._load_stream import Target
from ._process import FleetError
from ._settled_groups import wait_groups_settled
from ._workload import Client

# Requests per second of each client account. As with both users of the proxy,
# a few accounts are much larger than the others.
ACCOUNT_RATES = (80.0, 60.0, 30.0, 30.0, 20.0, 20.0, 20.0, 20.0)
APPLY_TIMEOUT_S = 10.0
# With this divisor a quick report of both deployments takes under 3 minutes.
QUICK_DIVISOR = 4


@dataclass(frozen=True)
class ReportSettings:
    """Duration and seed of the loads of a report.

    Parameters
    ----------
    is_quick : bool
        Whether loads are shortened.
    seed : int
        Seed of the load.
    """

    is_quick: bool
    seed: int

    def seconds(self, full_s: float) -> float:
        """Return the duration of a load whose full duration is given."""
        return full_s / QUICK_DIVISOR if self.is_quick else full_s


class Trial:
    """A fleet with a catalogue, and the means to put load on it.

    Parameters
    ----------
    fleet : Fleet
        A started fleet.
    settings : ReportSettings
        Durations and seed of the loads.
    clock : Clock
        Clock of the load.
    """

    def __init__(
        self, fleet: Fleet, settings: ReportSettings, clock: Clock
    ) -> None:
        self.fleet = fleet
        self.settings = settings
        self.clock = clock
        self.random = random.Random(settings.seed)
        self.clients = [
            _make_client(number, rate)
            for number, rate in enumerate(ACCOUNT_RATES, 1)
        ]
        self.operator = fleet.operator()

    async def prepare(self) -> None:
        """Wait until the fleet is ready and apply the catalogue.

        Raises
        ------
        FleetError
            If the catalogue is not in force everywhere within the limit.
        """
        await self.fleet.wait_ready(30)
        accounts = [client.account for client in self.clients]
        puts = catalogue_puts(self.fleet.deployment, accounts)
        status, body = await self.operator.apply(puts, wait_s=APPLY_TIMEOUT_S)
        if status != 200 or not body.get('in_force'):
            raise FleetError(f'catalogue: {status} {body}')
        await wait_groups_settled(self.fleet)

    def folder(self, name: str) -> Path:
        """Return a folder for the records of one load."""
        path = self.fleet.records / name
        path.mkdir(exist_ok=True)
        return path

    def random_vm(self, _elapsed_s: float) -> Target:
        """Choose a random entry VM and a caller in its data centre."""
        vm = self.random.choice(self.fleet.deployment.vms)
        return Target(
            self.fleet.address(vm.name, 'client'), vm.data_centre.name
        )

    def balancer(self, _elapsed_s: float) -> Target:
        """Choose the balancer and a caller in a random data centre."""
        centre = self.random.choice(self.fleet.deployment.data_centres)
        return Target(self.fleet.balancer_address, centre.name)

    def service(self, number: int) -> str:
        """Return the service of the client account with the given index."""
        services = self.fleet.deployment.services
        return services[number % len(services)]

    async def run_load(
        self,
        name: str,
        streams: list[StreamSettings],
        duration_s: float,
        inject: Callable[[], Awaitable[None]] | None = None,
    ) -> list[Sample]:
        """Run load streams and ``inject`` together and return all samples."""
        folder = self.folder(name)
        load_streams = [
            LoadStream(
                self.fleet,
                settings,
                folder / f'caller-{number}.jsonl',
                self.clock,
                self.settings.seed + number,
            )
            for number, settings in enumerate(streams)
        ]
        async with anyio.create_task_group() as tasks:
            for stream in load_streams:
                tasks.start_soon(stream.run, duration_s)
            if inject is not None:
                await inject()
        return [sample for stream in load_streams for sample in stream.samples]


def _make_client(number: int, rate: float) -> Client:
    key = Secret(secrets.token_urlsafe(24))
    digest = str(key_digest(key))
    return Client(Account(f'account-{number}', rate, rate, digest), key)

"""Measurement of the memory growth of a daemon under a long mixed load."""

from pathlib import Path
import secrets

import anyio

from siskinsail_catalogue import key_digest
from siskinsail_types import Clock
from siskinsail_types import Secret
from siskinsail_types import SystemClock

from ._caller import Caller
from ._caller import CallerSettings
from ._deployment import Account
from ._deployment import catalogue_puts
from ._fleet import Fleet
from ._measure_proxy import one_daemon
from ._measure_proxy import RATE
from ._measure_proxy import resident_bytes
from ._process import FleetError
from ._settled_groups import wait_groups_settled

CALLER_COUNT = 16
# A session and its connection end after this number of rounds.
ROUNDS_PER_SESSION = 10
ROUND_PAUSE_S = 0.02
SAMPLE_INTERVAL_S = 1.0
# The run is compared by fifths. The first fifth is left out, because buffers,
# metrics and the events kept in memory fill up in it once.
PART_COUNT = 5
# Growth below this share cannot be told from noise of the allocator.
NOISE_SHARE = 0.01


class Growth:
    """Samples of the resident memory of a daemon.

    Parameters
    ----------
    samples : list of int
        Resident bytes, sampled at a constant interval.
    requests : int
        Requests that callers sent during the run.
    """

    def __init__(self, samples: list[int], requests: int) -> None:
        self._samples = samples
        self.requests = requests

    @property
    def mean_bytes_by_fifth(self) -> list[float]:
        """Mean resident bytes of each fifth of the run."""
        size = max(1, len(self._samples) // PART_COUNT)
        parts = [
            self._samples[size * number : size * (number + 1)]
            for number in range(PART_COUNT)
        ]
        return [sum(part) / len(part) for part in parts]

    @property
    def relative_growth(self) -> float:
        """Relative growth from the second to the last fifth of the run."""
        fifths = self.mean_bytes_by_fifth
        return fifths[-1] / fifths[1] - 1

    @property
    def is_flat(self) -> bool:
        """Whether the memory did not grow by more than noise."""
        return self.relative_growth <= NOISE_SHARE


async def measure_growth(
    folder: Path, seconds: float, clock: Clock | None = None
) -> Growth:
    """Run writes, reads and transactions in a succession of new sessions.

    Parameters
    ----------
    folder : Path
        Folder for the files of the fleet.
    seconds : float
        Duration of the load in seconds.
    """
    clock = clock or SystemClock()
    key = Secret(secrets.token_urlsafe(24))
    account = Account('account-1', RATE, RATE, str(key_digest(key)))
    async with Fleet(one_daemon(), folder, with_delays=False) as fleet:
        await fleet.wait_ready(30)
        puts = catalogue_puts(fleet.deployment, [account])
        status, body = await fleet.operator().apply(puts, wait_s=5)
        if status != 200:
            raise FleetError(f'catalogue: {status} {body}')
        await wait_groups_settled(fleet)
        load = _Load(fleet, key, clock)
        samples: list[int] = []
        async with anyio.create_task_group() as tasks:
            for number in range(CALLER_COUNT):
                tasks.start_soon(load.run, number)
            end_s = clock.now_s() + seconds
            while clock.now_s() < end_s:
                await anyio.sleep(SAMPLE_INTERVAL_S)
                samples.append(resident_bytes(load.pid))
            tasks.cancel_scope.cancel()
        return Growth(samples, load.requests)


class _Load:
    """Callers of one client account, each with one session after another."""

    def __init__(self, fleet: Fleet, key: Secret, clock: Clock) -> None:
        self._vm = fleet.deployment.vms[0]
        self._fleet = fleet
        self._key = key
        self._clock = clock
        self._service = fleet.deployment.services[0]
        self.requests = 0

    @property
    def pid(self) -> int:
        """Process id of the daemon."""
        pid = self._fleet.processes[self._vm.name].pid
        if pid is None:
            raise FleetError(f'{self._vm.name} has ended')
        return pid

    async def run(self, number: int) -> None:
        """Open sessions until cancelled."""
        network = self._fleet.caller_network(
            self._vm.data_centre.name, number + 1
        )
        session_number = 0
        while True:
            session_number += 1
            caller = Caller(
                CallerSettings(
                    session=f'{number}-{session_number}',
                    account='account-1',
                    key=self._key,
                    address=self._fleet.address(self._vm.name, 'client'),
                ),
                network,
                self._clock,
            )
            try:
                for _ in range(ROUNDS_PER_SESSION):
                    await self._run_round(caller, f'account-1/{number}')
                    await anyio.sleep(ROUND_PAUSE_S)
            finally:
                with anyio.CancelScope(shield=True):
                    await caller.aclose()

    async def _run_round(self, caller: Caller, order: str) -> None:
        put = {'op': 'put', 'table': 'orders', 'key': order, 'value': 1}
        get = {'op': 'get', 'table': 'orders', 'key': order}
        service = self._service
        await caller.run(f'{service}-write', [put])
        await caller.run(f'{service}-read', [get])
        await caller.run(f'{service}-history', [get])
        begin_answer = await caller.begin(f'{service}-transaction')
        self.requests += 4
        if begin_answer.is_answered:
            await caller.run_in_transaction(
                begin_answer.transaction, [get, put]
            )
            await caller.commit(begin_answer.transaction)
            self.requests += 2

"""Starts a fleet with a catalogue and callers for a test."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from pathlib import Path

import anyio

from siskinsail_bench import all_violations
from siskinsail_bench import catalogue_puts
from siskinsail_bench import Client
from siskinsail_bench import Deployment
from siskinsail_bench import Fleet
from siskinsail_bench import make_clients
from siskinsail_bench import Session
from siskinsail_bench import small
from siskinsail_bench import wait_groups_settled

READY_S = 30.0
# A catalogue change is in force on every daemon within this time.
IN_FORCE_S = 5.0


class Scenario:
    """A running fleet with a catalogue in force and one client per account.

    Parameters
    ----------
    fleet : Fleet
        The running fleet.
    clients : list of Client
        Accounts and keys of the callers.
    """

    def __init__(self, fleet: Fleet, clients: list[Client]) -> None:
        self.fleet = fleet
        self.clients = clients
        self.operator = fleet.operator()

    @property
    def service(self) -> str:
        """Name of the first service."""
        return self.fleet.deployment.services[0]

    def session(self, number: int, data_centre: int | None = None) -> Session:
        """Return a session of client ``number`` near a data centre."""
        centres = self.fleet.deployment.data_centres
        index = number if data_centre is None else data_centre
        return Session(
            self.fleet,
            self.clients[number % len(self.clients)],
            f's{number}',
            self.service,
            centres[index % len(centres)].name,
            number=number,
        )

    @asynccontextmanager
    async def load(
        self, sessions: list[Session], pause_s: float = 0.01
    ) -> AsyncIterator[Callable[[int], object]]:
        """Run sessions; yield a function that waits for more orders.

        The function waits until each session has had ``count`` further
        answers.
        """
        stop = anyio.Event()

        async def wait_for_orders(count: int, timeout_s: float = 30) -> None:
            targets = [s.outcome_counts.answered + count for s in sessions]

            async def placed() -> bool:
                return all(
                    session.outcome_counts.answered >= number
                    for session, number in zip(sessions, targets, strict=True)
                )

            await self.fleet.wait_until(placed, timeout_s, 'orders')

        async with anyio.create_task_group() as tasks:
            for session in sessions:
                tasks.start_soon(session.run_load, stop, pause_s)
            yield wait_for_orders
            stop.set()

    async def check(self) -> None:
        """Fail if the records show a violated guarantee."""
        violations = await all_violations(self.fleet, self.clients)
        # Shows one violation of each check, since many violations of one
        # check may hide those of another.
        shown = {one.check: one for one in reversed(violations)}
        assert not violations, (len(violations), *shown.values())


@asynccontextmanager
async def running(
    folder: Path,
    deployment: Deployment | None = None,
    *,
    accounts: int = 3,
    rate: float = 300.0,
    burst: float = 300.0,
    with_delays: bool = False,
    daemon_flags: tuple[str, ...] = (),
) -> AsyncIterator[Scenario]:
    """Start a fleet, wait until its catalogue is in force, stop it at exit.

    Parameters
    ----------
    accounts : int
        Number of accounts, each with one client.
    rate : float
        Requests per second that each account may make.
    burst : float
        Requests that each account may make at once.
    with_delays : bool
        Whether traffic between data centres and to callers is delayed.
    """
    clients = make_clients(accounts, rate, burst)
    fleet = Fleet(
        deployment or small(),
        folder,
        with_delays=with_delays,
        daemon_flags=daemon_flags,
    )
    async with fleet:
        await fleet.wait_ready(READY_S)
        scenario = Scenario(fleet, clients)
        status, body = await scenario.operator.apply(
            catalogue_puts(
                fleet.deployment, [client.account for client in clients]
            ),
            wait_s=IN_FORCE_S,
        )
        assert status == 200, body
        assert body['in_force'], body
        await wait_groups_settled(fleet)
        yield scenario

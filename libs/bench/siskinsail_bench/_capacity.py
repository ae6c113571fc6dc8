"""Cost of the control plane, measured and extrapolated to the planned size."""

import os
from pathlib import Path

import anyio

from siskinsail_types import Clock
from siskinsail_types import SystemClock

from ._capacity_run import measure_size
from ._capacity_run import Size
from ._capacity_run import SizeResult
from ._capacity_sizes import measure_view
from ._capacity_sizes import ViewSize
from ._report_table import table

PLANNED_DAEMONS = 740
PLANNED_DATABASES = 800
PLANNED_DATA_CENTRES = 8
CHANGES_PER_DAY = 430
RESTARTS_PER_DAY = 380
DAY_S = 86_400
PLANNED_ENTRIES = 5_000
BUDGET_DAEMON_CORE_SHARE = 0.049
BUDGET_MEMORY_BYTES = 128e6
BUDGET_TRAFFIC_BYTES_PER_S = 9_000
BUDGET_IN_FORCE_S = 17.0
BUDGET_CONTROL_VMS = 7
AGENT_SIZES = (Size(8), Size(32), Size(128))
# One size with databases that announce themselves, in groups of three, and one
# with every agent spending tokens of 10 client accounts.
DATABASE_AND_ACCOUNT_SIZES = (Size(32, databases=96), Size(32, accounts=10))
VIEW_ENTRIES = (100, 1_000, 5_000)
VIEW_DATABASES = (9, 96, 801)
CAPACITY_FILE = 'capacity.md'


async def run_capacity(folder: Path, is_quick: bool) -> None:
    """Measure all sizes, print the tables and write them into ``folder``."""
    clock = SystemClock()
    duration_s = 4.0 if is_quick else 10.0
    sizes = AGENT_SIZES[:2] if is_quick else AGENT_SIZES
    load_average = os.getloadavg()[0]
    measured = [
        await _measure(folder, size, duration_s, clock)
        for size in sizes + DATABASE_AND_ACCOUNT_SIZES
    ]
    views = [
        measure_view(entries, databases)
        for entries in VIEW_ENTRIES
        for databases in VIEW_DATABASES
    ]
    quick = ' --quick' if is_quick else ''
    agents_only = measured[: len(sizes)]
    by_database, by_account = measured[len(sizes) :]
    parts = [
        f'Command: `siskinsail-bench capacity{quick}`, '
        f'{os.cpu_count()} cores, '
        f'load average {load_average:.1f} at the start.\n',
        _size_table(measured),
        _view_table(views),
        _extrapolation(agents_only, by_database, by_account, views[-1]),
        _relay_table(agents_only, by_account, views[-1]),
    ]
    text = '\n'.join(parts)
    print(text)
    await anyio.Path(folder).mkdir(parents=True, exist_ok=True)
    await anyio.Path(folder / CAPACITY_FILE).write_text(text)


async def _measure(
    folder: Path, size: Size, duration_s: float, clock: Clock
) -> SizeResult:
    name = f'{size.agents}-{size.databases}-{size.accounts}'
    return await measure_size(folder / name, size, duration_s, clock)


def _size_table(results: list[SizeResult]) -> str:
    head = [
        'agents',
        'databases',
        'accounts spent',
        'sync calls/s',
        'other calls/s',
        'leader CPU',
        'CPU per call',
        'follower CPU',
        'agent CPU',
        'agent sends',
        'agent receives',
        'leader memory',
        'agent memory',
        'view changes/s',
        'tokens/s of an agent',
        'change in force, median and longest',
        'load average',
    ]
    rows = [
        [
            str(result.size.agents),
            str(result.size.databases),
            str(result.size.accounts),
            f'{result.sync_calls:.1f}',
            f'{result.other_calls:.1f}',
            f'{result.leader_cpu:.1%}',
            f'{result.leader_cpu_per_call_s * 1e6:.0f} us',
            f'{result.follower_cpu:.1%}',
            f'{result.agent_cpu:.2%}',
            f'{result.sent_bytes:.0f} B/s',
            f'{result.received_bytes:.0f} B/s',
            f'{result.leader_bytes / 1e6:.0f} MB',
            f'{result.agent_bytes / 1e6:.1f} MB',
            f'{result.view_changes:.1f}',
            f'{result.tokens:.0f}',
            f'{result.median_in_force_s:.3f} s, '
            f'{max(result.in_force_s):.3f} s',
            f'{result.load_average:.1f}',
        ]
        for result in results
    ]
    return f'### Measured\n\n{table(head, rows)}\n'


def _view_table(views: list[ViewSize]) -> str:
    head = ['entries', 'databases', 'whole view', 'delta of one', 'memory']
    rows = [
        [
            str(view.entries),
            str(view.databases),
            f'{view.whole_bytes:,} B',
            f'{view.delta_bytes} B',
            f'{view.memory_bytes / 1e6:.2f} MB',
        ]
        for view in views
    ]
    return f'### Views\n\n{table(head, rows)}\n'


def _growth_per_agent(
    small: SizeResult, large: SizeResult, name: str
) -> float:
    """Return the growth of a value per additional agent."""
    agents = large.size.agents - small.size.agents
    growth = getattr(large, name) - getattr(small, name)
    return float(growth) / agents


def _extrapolation(
    agents_only: list[SizeResult],
    by_database: SizeResult,
    by_account: SizeResult,
    view: ViewSize,
) -> str:
    small, large = agents_only[0], agents_only[-1]
    same_agents = next(
        result
        for result in agents_only
        if result.size.agents == by_database.size.agents
    )
    additional_agents = PLANNED_DAEMONS - large.size.agents
    cpu = large.leader_cpu + additional_agents * _growth_per_agent(
        small, large, 'leader_cpu'
    )
    cpu_for_databases = (
        (by_database.leader_cpu - same_agents.leader_cpu)
        / by_database.size.databases
        * PLANNED_DATABASES
    )
    in_force_s = large.median_in_force_s + additional_agents * max(
        0.0, _growth_per_agent(small, large, 'median_in_force_s')
    )
    restart_traffic = (
        RESTARTS_PER_DAY / DAY_S * view.whole_bytes / PLANNED_DAEMONS
    )
    change_traffic = CHANGES_PER_DAY / DAY_S * view.delta_bytes
    idle_traffic = large.traffic
    # The announcements and loans that a daemon receives grow with the number
    # of databases per daemon.
    database_traffic = (
        (by_database.traffic - same_agents.traffic)
        * (PLANNED_DATABASES / PLANNED_DAEMONS)
        / (by_database.size.databases / by_database.size.agents)
    )
    loan_traffic = by_account.traffic - same_agents.traffic
    traffic = (
        idle_traffic + database_traffic + restart_traffic + change_traffic
    )
    memory = large.leader_bytes + view.memory_bytes
    rows = [
        [
            'sync calls to the leader',
            f'{PLANNED_DAEMONS * large.sync_calls_of_agent:.0f}/s',
            '',
        ],
        [
            'leader CPU, sync calls of 740 daemons',
            f'{cpu:.0%} of a core',
            f'one core; {BUDGET_CONTROL_VMS} control VMs',
        ],
        [
            'leader CPU, announcements of 800 databases, each heard once',
            f'{cpu_for_databases:.0%} of a core',
            'one core, with the above',
        ],
        [
            'daemon CPU for control',
            f'{max(large.agent_cpu, by_account.agent_cpu):.2%} of a core',
            f'{BUDGET_DAEMON_CORE_SHARE:.1%}',
        ],
        [
            'daemon traffic for control, idle',
            f'{idle_traffic / 1000:.2f} KB/s',
            f'{BUDGET_TRAFFIC_BYTES_PER_S / 1000:.0f} KB/s',
        ],
        [
            f'the same with {PLANNED_DATABASES} databases, '
            f'{CHANGES_PER_DAY} changes and {RESTARTS_PER_DAY} restarts a day',
            f'{traffic / 1000:.2f} KB/s',
            f'{BUDGET_TRAFFIC_BYTES_PER_S / 1000:.0f} KB/s',
        ],
        [
            'added for each account that a daemon spends from at '
            f'{by_account.tokens / by_account.size.accounts:.0f} tokens/s',
            f'{loan_traffic / by_account.size.accounts / 1000:.2f} KB/s',
            'within the above',
        ],
        [
            'daemon memory: process as measured and a view of '
            f'{PLANNED_ENTRIES} entries and {PLANNED_DATABASES} databases',
            f'{memory / 1e6:.0f} MB',
            f'{BUDGET_MEMORY_BYTES / 1e6:.0f} MB',
        ],
        [
            'change in force everywhere, median',
            f'{in_force_s:.2f} s',
            f'{BUDGET_IN_FORCE_S:.0f} s',
        ],
    ]
    head = ['figure', 'extrapolated', 'budget']
    return (
        f'### Extrapolated to {PLANNED_DAEMONS} daemons\n\n'
        f'Linear from {small.size.agents} and {large.size.agents} agents.\n\n'
        f'{table(head, rows)}\n'
    )


def _relay_table(
    agents_only: list[SizeResult], by_account: SizeResult, view: ViewSize
) -> str:
    """Return the cost at the leader without and with relays.

    The figures are derived from measured sizes and rates of messages.
    """
    large = agents_only[-1]
    same_agents = next(
        result
        for result in agents_only
        if result.size.agents == by_account.size.agents
    )
    # A sync call of a relay carries the reports of its daemons without their
    # frames. The leader sends each change once to each relay.
    calls = large.sync_calls_of_agent
    loan_traffic = (
        by_account.traffic - same_agents.traffic
    ) / by_account.size.accounts
    idle_traffic = large.traffic
    cpu_per_agent = _growth_per_agent(agents_only[0], large, 'leader_cpu')
    changes_per_s = CHANGES_PER_DAY / DAY_S
    rows = []
    for name, peers in (
        ('flat', PLANNED_DAEMONS),
        ('relays', PLANNED_DATA_CENTRES),
    ):
        rows.append(
            [
                name,
                f'{peers * calls:.0f}/s',
                f'{peers * idle_traffic / 1000:.1f} KB/s',
                f'{peers * CHANGES_PER_DAY:,} a day',
                f'{peers * changes_per_s * view.delta_bytes:.1f} B/s',
                f'{PLANNED_DAEMONS * loan_traffic / 1000:.1f} KB/s',
                f'{peers * cpu_per_agent:.0%}',
            ]
        )
    head = [
        'distribution',
        'sync calls at the leader',
        'bytes of empty sync calls',
        'deltas sent by the leader',
        'bytes of deltas',
        'bytes of lending, one account at each daemon',
        'leader CPU for sync calls',
    ]
    return (
        '### Flat distribution and relays for each data centre\n\n'
        'Derived from the message sizes and rates measured above; relays '
        'are not implemented.\n\n'
        f'{table(head, rows)}\n'
    )

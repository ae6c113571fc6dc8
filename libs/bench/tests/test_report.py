"""Guards the figures of reports against wrong counting."""

import contextlib
from pathlib import Path
import subprocess
import sys
import time

import pytest

from siskinsail_bench._caller_record import CallOutcome
from siskinsail_bench._capacity_sizes import measure_view
from siskinsail_bench._load_stream import Sample
from siskinsail_bench._measure_failover import _gap_figures
from siskinsail_bench._measure_moves import _answered_per_second
from siskinsail_bench._measure_rates import _flood_figures
from siskinsail_bench._measure_rates import _refused_per_second
from siskinsail_bench._process import program
from siskinsail_bench._report_table import compare
from siskinsail_bench._report_table import Figure
from siskinsail_bench._report_table import latencies
from siskinsail_bench._report_table import Measure
from siskinsail_bench._report_table import quantile_ms


def _sample(account, second, elapsed_s=0.1, code=''):
    outcome = CallOutcome.NOT_RUN if code else CallOutcome.ANSWERED
    return Sample(account, 100.0 + second, elapsed_s, outcome, code)


def test_a_baseline_stands_beside_its_own_figure():
    own = [Measure('m', [Figure('a', '1', '2', False), Figure('b', '3')])]
    base = [Measure('m', [Figure('b', '4'), Figure('a', '5')])]
    lines = compare(own, base).splitlines()
    assert '| a | 1 | 5 | 2 | NO |' in lines
    assert '| b | 3 | 4 |  |  |' in lines
    assert '| b | 3 | not measured |  |  |' in compare(own, []).splitlines()


def test_quantiles_are_in_milliseconds():
    histogram = latencies()
    for number in range(1, 101):
        histogram.record_value(number * 1000)
    assert quantile_ms(histogram, 50) == pytest.approx(50, rel=0.01)
    assert quantile_ms(histogram, 99) == pytest.approx(99, rel=0.01)


@pytest.mark.parametrize(
    ('samples', 'worst', 'reached'),
    [
        ([_sample('b', 0)], '100.00%', True),
        ([_sample('b', 0), _sample('b', 1, 1.5)], '50.00%', False),
        ([_sample('b', 0), _sample('b', 1, 0.1, 'x')], '50.00%', False),
        ([_sample('b', 0), _sample('c', 0, 0.1, 'x')], '0.00%', False),
    ],
)
def test_late_and_refused_requests_count_against_an_account(
    samples, worst, reached
):
    flood = [_sample('flood', 0, 0.1, 'rate_limited')]
    figure = _flood_figures(samples + flood, 'flood').figures[0]
    assert (figure.text, figure.ok) == (worst, reached)


def test_seconds_are_those_of_the_start_of_a_request():
    samples = [
        _sample('a', 0),
        _sample('a', 0.9, 3.0),
        _sample('a', 1.0, 0.1, 'rate_limited'),
        _sample('a', 2.5),
    ]
    assert _answered_per_second(samples) == [100, 0, 100]
    assert _refused_per_second(samples) == [0, 1, 0]


@pytest.mark.parametrize(
    ('gaps_s', 'reached'),
    [([1.0, 1.5, 4.0], [True, True]), ([2.5, 2.5, 6.0], [False, False])],
)
def test_targets_of_gaps(gaps_s, reached):
    assert [one.ok for one in _gap_figures('x', gaps_s)] == reached


def test_a_delta_does_not_grow_with_the_view():
    small, large = measure_view(100, 9), measure_view(1000, 96)
    assert (large.entries, large.databases) == (1000, 96)
    assert large.whole_bytes > 5 * small.whole_bytes
    assert large.delta_bytes < 2 * small.delta_bytes < 1000


@pytest.mark.process
def test_a_terminated_run_leaves_no_process(tmp_path):
    run = subprocess.Popen(
        [program('siskinsail-bench'), 'capacity', f'--folder={tmp_path}'],
        stdout=subprocess.DEVNULL,
    )
    try:
        assert _wait(lambda: len(_processes_of(tmp_path)) >= 5)
        run.terminate()
        assert run.wait(20) == 1
        assert not _processes_of(tmp_path)
    finally:
        run.kill()


SIGNAL_AT_ONCE = """
import os, signal, sys
import anyio
from siskinsail_bench._report_signals import run_until_terminated

async def work():
    os.kill(os.getpid(), signal.SIGTERM)
    await anyio.sleep(20)

options = {'use_uvloop': True}
sys.exit(not anyio.run(run_until_terminated, work, backend_options=options))
"""


def test_a_run_is_ended_in_order_from_its_first_step():
    # Fails if SIGTERM finds processes that were started before it is caught.
    run = subprocess.run(
        [sys.executable, '-c', SIGNAL_AT_ONCE], timeout=20, check=False
    )
    assert run.returncode == 1


def _processes_of(folder):
    """Return the processes that name ``folder``, the run among them."""
    found = []
    for path in Path('/proc').glob('[0-9]*/cmdline'):
        with contextlib.suppress(OSError):
            found += [path] * (str(folder).encode() in path.read_bytes())
    return found


def _wait(condition, limit_s=20.0):
    end_s = time.monotonic() + limit_s
    while not condition() and time.monotonic() < end_s:
        time.sleep(0.02)
    return condition()

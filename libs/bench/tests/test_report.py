"""Tests that reports count requests correctly and end without processes."""

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
from siskinsail_bench._measure_rates import _flood_measurement
from siskinsail_bench._measure_rates import _refused_per_second
from siskinsail_bench._process import program_path
from siskinsail_bench._report_table import compare
from siskinsail_bench._report_table import Figure
from siskinsail_bench._report_table import Measurement
from siskinsail_bench._report_table import new_latency_histogram
from siskinsail_bench._report_table import quantile_ms


def _sample(account, second, elapsed_s=0.1, code=''):
    outcome = CallOutcome.NOT_RUN if code else CallOutcome.ANSWERED
    return Sample(account, 100.0 + second, elapsed_s, outcome, code)


def test_a_baseline_stands_beside_its_own_figure():
    measured = [
        Measurement('m', [Figure('a', '1', '2', False), Figure('b', '3')])
    ]
    baseline = [Measurement('m', [Figure('b', '4'), Figure('a', '5')])]
    lines = compare(measured, baseline).splitlines()
    assert '| a | 1 | 5 | 2 | NO |' in lines
    assert '| b | 3 | 4 |  |  |' in lines
    assert (
        '| b | 3 | not measured |  |  |' in compare(measured, []).splitlines()
    )


def test_quantiles_are_in_milliseconds():
    histogram = new_latency_histogram()
    for number in range(1, 101):
        histogram.record_value(number * 1000)
    assert quantile_ms(histogram, 50) == pytest.approx(50, rel=0.01)
    assert quantile_ms(histogram, 99) == pytest.approx(99, rel=0.01)


@pytest.mark.parametrize(
    ('samples', 'worst', 'is_target_reached'),
    [
        ([_sample('b', 0)], '100.00%', True),
        ([_sample('b', 0), _sample('b', 1, 1.5)], '50.00%', False),
        ([_sample('b', 0), _sample('b', 1, 0.1, 'x')], '50.00%', False),
        ([_sample('b', 0), _sample('c', 0, 0.1, 'x')], '0.00%', False),
    ],
)
def test_late_and_refused_requests_count_against_an_account(
    samples, worst, is_target_reached
):
    flood = [_sample('flood', 0, 0.1, 'rate_limited')]
    figure = _flood_measurement(samples + flood, 'flood').figures[0]
    assert (figure.text, figure.is_reached) == (worst, is_target_reached)


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
    ('gaps_s', 'is_target_reached'),
    [([1.0, 1.5, 4.0], [True, True]), ([2.5, 2.5, 6.0], [False, False])],
)
def test_targets_of_gaps(gaps_s, is_target_reached):
    assert [
        figure.is_reached for figure in _gap_figures('x', gaps_s)
    ] == is_target_reached


def test_a_delta_does_not_grow_with_the_view():
    small, large = measure_view(100, 9), measure_view(1000, 96)
    assert (large.entries, large.databases) == (1000, 96)
    assert large.whole_bytes > 5 * small.whole_bytes
    assert large.delta_bytes < 2 * small.delta_bytes < 1000


@pytest.mark.process
def test_a_terminated_run_leaves_no_process(tmp_path):
    run = subprocess.Popen(
        [program_path('siskinsail-bench'), 'capacity', f'--folder={tmp_path}'],
        stdout=subprocess.DEVNULL,
    )
    try:
        assert _wait_for(lambda: len(_processes_in(tmp_path)) >= 5)
        run.terminate()
        assert run.wait(20) == 1
        assert not _processes_in(tmp_path)
    finally:
        run.kill()


SIGNAL_IN_FIRST_STEP = """
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
    # Fails if work starts before the handler of SIGTERM is installed: SIGTERM
    # would then leave the processes of a fleet running.
    run = subprocess.run(
        [sys.executable, '-c', SIGNAL_IN_FIRST_STEP], timeout=20, check=False
    )
    assert run.returncode == 1


def _processes_in(folder):
    """Return the processes with ``folder`` in their command line."""
    processes = []
    for path in Path('/proc').glob('[0-9]*/cmdline'):
        with contextlib.suppress(OSError):
            processes += [path] * (str(folder).encode() in path.read_bytes())
    return processes


def _wait_for(condition, timeout_s=20.0):
    end_s = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < end_s:
        time.sleep(0.02)
    return condition()

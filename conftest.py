"""Event loop of all tests, and handling of the tests in KNOWN-RED.txt.

An entry of the file begins with a line ``test: NODE ID`` in the first
column; the lines below it give the command, the seed, what was seen and the
issue. A listed test still runs, but its failure does not fail the run.
"""

from pathlib import Path

import eliot
import pytest

KNOWN_RED = Path(__file__).with_name('KNOWN-RED.txt')
PREFIX = 'test: '

# Eliot buffers events until the first destination is added and delivers them
# to it. Adding and removing a destination here ends the buffering, so that
# events of one test do not reach the log that another test reads.
_no_events: list[dict[str, object]] = []
eliot.add_destinations(_no_events.append)
eliot.remove_destination(_no_events.append)


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    """Run tests on uvloop, as the daemon does.

    The asyncio loop of Python 3.11 raises InvalidStateError if a listener is
    cancelled while a connection arrives, which made tests fail at teardown.
    """
    return 'asyncio', {'use_uvloop': True}


def _known_red() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    return [
        line.removeprefix(PREFIX).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(PREFIX)
    ]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    listed = set(_known_red())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason='in KNOWN-RED.txt'))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the listed tests at the end of the run."""
    for name in _known_red():
        terminalreporter.write_line(f'known red, passed over: {name}')

"""Tests that a failed test prints the events of its fleet.

A failure on another machine often cannot be reproduced, so the output has to
contain the elections before it.
"""

from anyio import run
import msgspec
import pytest

from siskinsail_bench import Fleet
from siskinsail_bench import small


class _TestFailedError(Exception):
    pass


def _write_log(folder, events):
    lines = [msgspec.json.encode(event) for event in events]
    (folder / 'logs' / 'vm-1.jsonl').write_bytes(b'\n'.join(lines))


def test_a_failed_test_prints_elections(tmp_path, capsys, monkeypatch):
    monkeypatch.setattr(Fleet, 'start', lambda self: None)

    async def fail():
        async with Fleet(small(), tmp_path) as fleet:
            _write_log(
                tmp_path,
                [
                    {'time': 2.0, 'vm': 'b', 'message_type': 'read'},
                    {
                        'time': 1.0,
                        'vm': 'a',
                        'message_type': 'control_leader',
                        'term': 7,
                    },
                ],
            )
            assert fleet.records.is_dir()
            raise _TestFailedError

    with pytest.raises(_TestFailedError):
        run(fail)
    output = capsys.readouterr().out
    assert '1.00 a control_leader term=7' in output
    assert 'read' not in output

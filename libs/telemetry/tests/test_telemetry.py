"""Tests of redaction, event logs, rotation and the merged timeline."""

import io
import json
import logging
from pathlib import Path

import eliot
import pytest

from siskinsail_telemetry import configure_logging
from siskinsail_telemetry import EventLog
from siskinsail_telemetry import log_event
from siskinsail_telemetry import LogFile
from siskinsail_telemetry import merge_timeline
from siskinsail_telemetry import read_events
from siskinsail_telemetry import read_log
from siskinsail_telemetry import redact
from siskinsail_telemetry import TimelineFilter
from siskinsail_types import ManualClock
from siskinsail_types import Secret


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({'a': Secret('x')}, {'a': '***'}),
        ({'a': [{'b': (Secret('x'), 1)}]}, {'a': [{'b': ['***', 1]}]}),
        ({'Authorization': 'Bearer x'}, {'Authorization': '***'}),
        (
            {'operator_key': 'x', 'key': b'x'},
            dict.fromkeys(['operator_key', 'key'], '***'),
        ),
        ({'text': 'got Bearer x.y from'}, {'text': 'got Bearer *** from'}),
        (
            {'keys': {'given': 3}, 'tokens': 2.5},
            {'keys': {'given': 3}, 'tokens': 2.5},
        ),
        ({'key_count': 'x', 'monkey': 'x'}, {'key_count': 'x', 'monkey': 'x'}),
    ],
)
def test_secrets_are_redacted(fields, expected):
    assert redact(fields) == expected


def test_events_have_their_origin_and_no_keys(tmp_path):
    clock = ManualClock()
    path = tmp_path / 'events.log'
    log = configure_logging(
        LogFile(path), 'e1', 'accra-tema', clock, max_recent_events=2
    )
    try:
        for number in range(3):
            clock.advance(1)
            log_event('write', request=f'r{number}', key='hidden', vm='e9')
    finally:
        log.close()
    log_event('write', request='after close')
    assert 'hidden' not in path.read_text()
    events = list(read_events(path))
    assert [event['sequence'] for event in events] == [1, 2, 3]
    assert [event['time'] for event in events] == [1001, 1002, 1003]
    assert {event['vm'] for event in events} == {'e1'}
    assert events[0]['about_vm'] == 'e9'
    assert [event['request'] for event in log.events()] == ['r1', 'r2']


def test_values_without_a_json_form_are_logged_as_text():
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    log = EventLog(handler, 'e1', 'dc', ManualClock())
    eliot.add_destinations(log)
    try:
        log_event('failed', error=ValueError('odd'), position=object)
    finally:
        eliot.remove_destination(log)
    assert json.loads(stream.getvalue())['error'] == 'odd'


@pytest.mark.parametrize(
    ('limits', 'kept'),
    [
        ({'max_recent_events': 3}, ['r7', 'r8', 'r9']),
        ({'max_recent_bytes': 25_000}, ['r8', 'r9']),
        ({'max_recent_bytes': 5_000}, []),
    ],
)
def test_recent_events_are_bounded_in_number_and_bytes(limits, kept):
    # Fails if events with long texts, such as the reason of a refusal that
    # quotes what was sent, fill the memory.
    log = EventLog(
        logging.StreamHandler(io.StringIO()),
        'e1',
        'dc',
        ManualClock(),
        **limits,
    )
    eliot.add_destinations(log)
    try:
        for number in range(10):
            log_event('refused', request=f'r{number}', reason='x' * 10_000)
    finally:
        eliot.remove_destination(log)
    assert [event['request'] for event in log.events()] == kept


def _event(time, vm, sequence, **fields):
    return {'time': time, 'vm': vm, 'sequence': sequence, **fields}


@pytest.mark.parametrize(
    ('event_filter', 'expected'),
    [
        (None, ['a1', 'a2', 'b1', 'b2', 'a3']),
        (TimelineFilter(request='r'), ['a1', 'b2']),
        (TimelineFilter(since_s=5, until_s=5), ['a2', 'b1', 'b2']),
        (TimelineFilter(account='c', data_centre='x'), ['a3']),
        (TimelineFilter(group='g'), []),
    ],
)
def test_timeline_is_sorted_and_without_duplicates(event_filter, expected):
    first_source = [
        _event(9, 'a', 3, account='c', data_centre='x'),
        _event(1, 'a', 1, request='r'),
        _event(5, 'a', 2),
    ]
    second_source = [
        _event(5, 'b', 2, request='r'),
        _event(5, 'b', 1, account='c'),
    ]
    merged = merge_timeline(
        [first_source, second_source, first_source[:1]], event_filter
    )
    assert [f'{e["vm"]}{e["sequence"]}' for e in merged] == expected


def test_incomplete_last_line_is_skipped(tmp_path):
    path = tmp_path / 'events.log'
    path.write_bytes(b'{"time": 1}\n{"time": 2')
    assert list(read_events(path)) == [{'time': 1}]


def _log_events(path, count, max_rotated_files=3):
    log_file = LogFile(
        path, max_bytes=2000, max_rotated_files=max_rotated_files
    )
    log = configure_logging(log_file, 'e1', 'dc', ManualClock())
    try:
        for number in range(count):
            log_event('write', request=f'r{number}')
    finally:
        log.close()


def test_a_moved_log_file_is_opened_again(tmp_path):
    # Fails if events go to the moved file after the log was opened again.
    log_file = LogFile(tmp_path / 'vm.jsonl')
    event_log = configure_logging(log_file, 'vm', 'dc')
    log_event('before')
    log_file.path.rename(tmp_path / 'moved.jsonl')
    event_log.reopen('moved')
    log_event('after')
    event_log.close()
    moved, current = (
        [event['message_type'] for event in read_log(path)]
        for path in (tmp_path / 'moved.jsonl', log_file.path)
    )
    assert (moved, current) == (['before'], ['log_reopened', 'after'])


def test_a_log_is_rotated_by_size_and_old_files_are_deleted(tmp_path):
    """Guards against logs that fill the disk."""
    path = tmp_path / 'e1.jsonl'
    _log_events(path, 200)
    names = sorted(file.name for file in tmp_path.iterdir())
    assert names == ['e1.jsonl', *(f'e1.jsonl.{n}' for n in (1, 2, 3))]
    assert all(0 < file.stat().st_size <= 2000 for file in tmp_path.iterdir())


def test_all_files_of_a_log_are_read(tmp_path):
    """Guards against a timeline that lacks the events of rotated files."""
    path = tmp_path / 'e[1].jsonl'
    _log_events(path, 100, max_rotated_files=50)
    for unrelated_name in ('e[1].jsonl.gz', 'e[1].jsonl.x1', 'e1.jsonl.1'):
        (tmp_path / unrelated_name).write_text('{"sequence": 0}')
    sequences = [event['sequence'] for event in read_log(path)]
    assert sorted(sequences) == list(range(1, 101))
    path.unlink()
    assert len(list(read_log(path))) < 100
    with pytest.raises(FileNotFoundError):
        list(read_log(tmp_path / 'none.jsonl'))


@pytest.mark.parametrize('rotate_at', range(6))
def test_a_log_can_be_rotated_while_it_is_opened(
    tmp_path, monkeypatch, rotate_at
):
    """Guards against events missed because their file was renamed."""
    path = tmp_path / 'e1.jsonl'
    for number in range(4):
        name = f'e1.jsonl.{number}' if number else 'e1.jsonl'
        (tmp_path / name).write_text(f'{{"sequence": {number}}}\n')
    open_count = 0
    original_open = Path.open

    def open_and_rotate(name, mode):
        nonlocal open_count
        open_count += 1
        if open_count == rotate_at:
            for number in (3, 2, 1):
                rotated_file = tmp_path / f'e1.jsonl.{number}'
                rotated_file.rename(tmp_path / f'e1.jsonl.{number + 1}')
            path.rename(tmp_path / 'e1.jsonl.1')
        return original_open(name, mode)

    monkeypatch.setattr(Path, 'open', open_and_rotate)
    sequences = [event['sequence'] for event in read_log(path)]
    assert sorted(sequences) == [0, 1, 2, 3]


def test_a_failed_rotation_keeps_the_current_file(tmp_path):
    """Guards against lost events when the name of a rotated file is taken."""
    path = tmp_path / 'e1.jsonl'
    (tmp_path / 'e1.jsonl.1').mkdir()
    (tmp_path / 'e1.jsonl.1' / 'file').touch()
    _log_events(path, 100, max_rotated_files=1)
    assert len(list(read_events(path))) == 100

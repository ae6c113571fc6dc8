"""Tests that each check reports records that break its guarantee.

A check that overlooks a violation would let every run with failures pass.
"""

import pytest

from siskinsail_bench import CallerRecord
from siskinsail_bench import CallOutcome
from siskinsail_bench import check_accounts
from siskinsail_bench import check_catalogue
from siskinsail_bench import check_final_data
from siskinsail_bench import check_history
from siskinsail_bench import check_idempotency
from siskinsail_bench import check_key_withdrawn
from siskinsail_bench import check_keys_not_leaked
from siskinsail_bench import check_no_new_work
from siskinsail_bench import check_not_run
from siskinsail_bench import check_rates
from siskinsail_bench import check_read_your_writes
from siskinsail_bench import check_responses
from siskinsail_bench import check_transactions
from siskinsail_bench import DatabaseRecord
from siskinsail_bench import load_records
from siskinsail_bench import OperatorRecord
from siskinsail_bench import Records
from siskinsail_types import Secret

ANSWERED, NOT_RUN, UNKNOWN = (
    CallOutcome.ANSWERED,
    CallOutcome.NOT_RUN,
    CallOutcome.UNKNOWN,
)
KEY = 'a/k'


def _statement(op, value=None, key=KEY, table='t'):
    return {'op': op, 'table': table, 'key': key, 'value': value}


def _call(
    start_s, *statements, results=None, outcome=ANSWERED, name='', **fields
):
    name = name or f'r{start_s}'
    return CallerRecord(
        **{
            'started_s': start_s,
            'ended_s': start_s + 0.5,
            'session': 's',
            'account': 'a',
            'unit': 'statements',
            'route': 'one-write',
            'request_id': name,
            'echoed_id': name,
            'idempotency_key': '',
            'attempt': 1,
            'transaction': '',
            'statements': list(statements),
            'max_age_s': None,
            'outcome': outcome,
            'code': '',
            'status': 200,
            'vm': 'vm',
            'response': {'results': results or [{}] * len(statements)},
        }
        | fields
    )


def _unit(*statements, index=1, term=1, unit='execute', **fields):
    return DatabaseRecord(
        **{
            'time_s': 10.0,
            'database': 'one-a',
            'unit': unit,
            'outcome': 'done',
            'term': term,
            'index': index,
            'request_id': 'r1',
            'wrote': True,
            'connection': 1,
            'statements': list(statements),
        }
        | fields
    )


def _request_record(key):
    return _statement('insert', {}, key, 'siskinsail_requests')


def _put(start_s, value, **fields):
    return _call(start_s, _statement('put', value), **fields)


def _get(start_s, value, **fields):
    return _call(
        start_s, _statement('get'), results=[{'value': value}], **fields
    )


@pytest.mark.parametrize(
    ('calls', 'value', 'is_violation'),
    [
        ([_put(1, 5)], 5, False),
        ([_put(1, 5)], None, True),
        ([_put(1, 5), _put(2, 6)], 5, True),
        ([_put(1, 5), _put(2, 6, outcome=UNKNOWN)], 5, False),
        ([_put(1, 5), _put(2, 6, outcome=UNKNOWN)], 6, False),
        ([_put(1, 5), _put(2, 6, outcome=NOT_RUN)], 6, True),
        ([_call(1, _statement('add', 2))], 4, True),
        ([_call(1, _statement('add', 2), outcome=UNKNOWN)], 2, False),
        ([_call(1, _statement('add', 2), outcome=NOT_RUN)], 2, False),
    ],
)
def test_lost_and_repeated_writes_are_found(calls, value, is_violation):
    final = {'one': {'t': {} if value is None else {KEY: value}}}
    assert bool(check_final_data(Records(calls), final)) is is_violation


def test_a_retried_request_counts_once():
    add = _statement('add', 2)
    calls = [
        _call(1, add, outcome=UNKNOWN, idempotency_key='i'),
        _call(2, add, idempotency_key='i', attempt=2),
    ]
    final = {'one': {'t': {KEY: 2}}}
    assert not check_final_data(Records(calls), final)
    assert check_final_data(Records(calls), {'one': {'t': {KEY: 4}}})


@pytest.mark.parametrize(
    ('units', 'is_violation'),
    [
        (
            [
                _unit(_request_record('a/i')),
                _unit(_request_record('a/j'), index=2),
            ],
            False,
        ),
        (
            [
                _unit(_request_record('a/i')),
                _unit(_request_record('a/i'), index=2),
            ],
            True,
        ),
        # Term 2 began at index 1 and truncated the entry of the first unit.
        (
            [
                _unit(_request_record('a/i')),
                _unit(_request_record('a/i'), term=2),
            ],
            False,
        ),
    ],
)
def test_an_idempotency_key_applied_twice_is_found(units, is_violation):
    assert bool(check_idempotency(Records(databases=units))) is is_violation


@pytest.mark.parametrize(
    ('outcome', 'is_violation'), [(NOT_RUN, True), (ANSWERED, False)]
)
def test_a_false_not_run_is_found(outcome, is_violation):
    calls = [_put(1, 5, outcome=outcome, name='r1')]
    records = Records(calls, [_unit(_statement('put', 5))])
    assert bool(check_not_run(records)) is is_violation


@pytest.mark.parametrize(
    ('statements', 'is_violation'),
    [
        ([_request_record('a/i'), _statement('put', 1)], False),
        ([_request_record('b/i'), _statement('put', 1)], True),
        ([_statement('get', key='b/k')], True),
    ],
)
def test_a_statement_for_another_account_is_found(statements, is_violation):
    records = Records([_put(1, 5, name='r1')], [_unit(*statements)])
    assert bool(check_accounts(records)) is is_violation


def test_a_key_that_a_database_saw_is_found(tmp_path):
    line = (
        b'{"time_s":1,"database":"one-a","unit":"execute","outcome":"done",'
        b'"term":1,"index":1,"request_id":"r","headers":{"x":"Bearer s3cr"}}\n'
    )
    (tmp_path / 'database-one-a.jsonl').write_bytes(line + b'{"torn')
    records = load_records(tmp_path)
    assert len(records.databases) == 1
    assert check_keys_not_leaked(records, [Secret('s3cr')])
    assert not check_keys_not_leaked(records, [Secret('other')])


@pytest.mark.parametrize(
    ('calls', 'is_violation'),
    [
        ([_put(1, 5), _get(2, 5)], False),
        ([_put(1, 5), _get(2, None)], True),
        ([_put(1, 4), _put(2, 5), _get(3, 4)], True),
        ([_put(1, 5), _get(1.2, None)], False),
        ([_put(1, 5), _get(2, None, session='other')], False),
        ([_put(1, 4), _put(2, 6, session='other'), _get(3, 6)], False),
        ([_put(1, 5), _call(2, _statement('delete')), _get(3, 5)], True),
        ([_call(1, _statement('add', 3)), _get(2, 2)], True),
    ],
)
def test_a_session_that_misses_its_write_is_found(calls, is_violation):
    assert bool(check_read_your_writes(Records(calls))) is is_violation


def test_a_list_that_misses_an_own_key_is_found():
    def list_call(*keys):
        items = [{'key': key, 'value': 1} for key in keys]
        return _call(
            2, _statement('list', key='a/'), results=[{'items': items}]
        )

    for keys, is_violation in (((KEY,), False), ((), True)):
        records = Records([_put(1, 1), list_call(*keys)])
        assert bool(check_read_your_writes(records)) is is_violation


def _transaction(name, *statements):
    return [
        _call(1, *statements, unit='transaction', transaction=name),
        _call(2, unit='commit', transaction=name),
    ]


FIRST_PUT, SECOND_PUT = (
    _statement('put', 1, 'a/1'),
    _statement('put', 2, 'a/2'),
)


@pytest.mark.parametrize(
    ('units', 'is_violation'),
    [
        (
            [
                _unit(FIRST_PUT, unit='commit'),
                _unit(SECOND_PUT, unit='commit'),
            ],
            False,
        ),
        ([_unit(FIRST_PUT, SECOND_PUT, unit='commit')], True),
        ([_unit(FIRST_PUT, unit='commit')], True),
        (
            [
                _unit(FIRST_PUT, unit='commit', transaction=1),
                _unit(SECOND_PUT, unit='commit', transaction=1, connection=2),
            ],
            True,
        ),
    ],
)
def test_mixed_transactions_are_found(units, is_violation):
    calls = _transaction('x', FIRST_PUT) + _transaction('y', SECOND_PUT)
    assert bool(check_transactions(Records(calls, units))) is is_violation


@pytest.mark.parametrize(
    ('starts', 'is_violation'),
    [
        ([0.0] * 5, False),
        ([0.0] * 8, True),
        ([step * 0.5 for step in range(40)], False),
        ([step * 0.25 for step in range(40)], True),
        ([0.0] * 4 + [9.0] * 8, True),
        ([], False),
    ],
)
def test_more_than_rate_and_burst_is_found(starts, is_violation):
    calls = [_put(start_s, 1) for start_s in starts]
    violations = check_rates(Records(calls), {'a': (2.0, 5.0)})
    assert bool(violations) is is_violation


@pytest.mark.parametrize(
    ('unit', 'is_violation'),
    [
        (_unit(), True),
        (_unit(unit='begin', transaction=3), True),
        (_unit(transaction=3), False),
        (_unit(outcome='not_primary'), False),
        (_unit(time_s=8.0), False),
        (_unit(database='one-b'), False),
    ],
)
def test_new_work_on_a_leaving_database_is_found(unit, is_violation):
    records = Records(databases=[unit])
    assert bool(check_no_new_work(records, {'one-a'}, 9.0)) is is_violation


@pytest.mark.parametrize(
    ('call', 'is_violation'),
    [
        (_put(1, 5), False),
        (_put(1, 5, echoed_id='other'), True),
        (_call(1, _statement('get'), response={'results': []}), True),
        (_put(1, 5, status=0, echoed_id=''), False),
    ],
)
def test_a_response_of_another_request_is_found(call, is_violation):
    assert bool(check_responses(Records([call]))) is is_violation


@pytest.mark.parametrize(('start_s', 'is_violation'), [(5, True), (3, False)])
def test_use_of_a_withdrawn_key_is_found(start_s, is_violation):
    records = Records([_put(start_s, 1)])
    assert bool(check_key_withdrawn(records, 'a', 4)) is is_violation


@pytest.mark.parametrize(
    ('request_id', 'version', 'is_violation'),
    [('q1', 1, False), ('q1', 2, True), ('q2', 1, True), ('q2', 2, False)],
)
def test_mixed_changes_of_operators_are_found(
    request_id, version, is_violation
):
    def change(request_id, version):
        entries = [{'kind': 'route', 'name': 'x', 'version': version}]
        return OperatorRecord(
            started_s=1,
            ended_s=2,
            operator='o',
            request_id=request_id,
            address='vm',
            puts=[],
            deletes=[],
            status=200,
            answer={'entries': entries},
        )

    changes = [change('q1', 1), change(request_id, version)]
    assert bool(check_catalogue(Records(operators=changes))) is is_violation


@pytest.mark.parametrize(
    ('history', 'is_violation'),
    [
        ([(1, 'q0'), (2, 'q1')], False),
        ([(1, 'q0')], True),
        ([(2, 'q0'), (3, 'q1')], True),
        ([(1, 'q0'), (2, 'q1'), (3, 'q1')], True),
        ([(2, 'q1'), (1, 'q0')], True),
    ],
)
def test_changes_lost_moved_or_applied_twice_are_found(history, is_violation):
    change = OperatorRecord(
        started_s=1,
        ended_s=2,
        operator='o',
        request_id='q1',
        address='vm',
        puts=[],
        deletes=[],
        status=200,
        answer={'catalogue_version': 2, 'entries': []},
    )
    changes = [
        {'version': version, 'request_id': name} for version, name in history
    ]
    assert (
        bool(check_history(Records(operators=[change]), changes))
        is is_violation
    )

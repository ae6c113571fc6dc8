"""Connections do not keep large session values of forwarded calls.

Fails if a connection keeps more than it may after a statement, if the next
session sees values of another one, or if a transaction loses its values.
"""

import pytest
from returns.result import Success

from siskinsail_statements._connection import SessionVariables
from siskinsail_statements._connection import SharedConnection
from siskinsail_statements._outcome import Reply
from siskinsail_statements._outcome import TransactionState
from siskinsail_statements._statement import Begin
from siskinsail_statements._statement import Discard
from siskinsail_statements._statement import Execute
from siskinsail_statements._statement import Prepare
from siskinsail_statements._statement import PreparedQuery
from siskinsail_statements._statement import Query
from siskinsail_statements._statement import SetValue

pytestmark = pytest.mark.anyio

MAX_KEPT_BYTES = 100
SMALL = 'v' * 10
LARGE = 'v' * 200


class RecordingSession:
    """Database session that records the types of its commands."""

    is_open = True
    is_lost = False

    def __init__(self):
        self.sent = []
        self.state = TransactionState.IDLE

    async def exchange(self, commands, timeout_s):
        if any(isinstance(one.statement, Begin) for one in commands):
            self.state = TransactionState.OPEN
        self.sent.append([type(one.statement) for one in commands])
        return Success([Reply(state=self.state) for _ in commands])


def make_variables(value, prepared=None):
    variables = SessionVariables(max_kept_bytes=MAX_KEPT_BYTES)
    if value:
        variables.values['a'] = value
    if prepared:
        variables.prepared['p'] = PreparedQuery(prepared, False)
    return variables


@pytest.mark.parametrize(
    ('values', 'expected'),
    [
        ([SMALL, SMALL], [[SetValue, Query], [Query]]),
        # A large value is sent with each statement.
        (
            [LARGE, LARGE],
            [[SetValue, Query], [Discard, SetValue, Query]],
        ),
        ([LARGE, ''], [[SetValue, Query], [Discard, Query]]),
    ],
    ids=['small', 'large', 'other session'],
)
async def test_large_values_are_discarded(values, expected):
    session = RecordingSession()
    connection = SharedConnection(session, 'agents')
    for value in values:
        await connection.query(
            make_variables(value), Query('READ k', False), 'q1', None, 1.0
        )
    assert session.sent == expected


async def test_a_transaction_keeps_its_values():
    session = RecordingSession()
    connection = SharedConnection(session, 'agents')
    await connection.begin(make_variables(LARGE), Begin(), None, 1.0)
    for _ in range(2):
        await connection.query(
            make_variables(LARGE), Query('READ k', False), 'q1', None, 1.0
        )
    assert session.sent == [[SetValue, Begin]] + [[SetValue, Query]] * 2


async def test_a_transaction_does_not_see_values_of_another_session():
    session = RecordingSession()
    connection = SharedConnection(session, 'agents')
    query = Query('READ k', False)
    await connection.query(make_variables(LARGE), query, 'q1', None, 1.0)
    await connection.begin(make_variables(''), Begin(), None, 1.0)
    assert session.sent[-1] == [Discard, Begin]


async def test_large_prepared_statements_are_discarded():
    session = RecordingSession()
    connection = SharedConnection(session, 'agents')
    for _ in range(2):
        await connection.query(
            make_variables('', LARGE), Execute('p', ''), 'q1', None, 1.0
        )
    assert session.sent == [[Prepare, Execute], [Discard, Prepare, Execute]]

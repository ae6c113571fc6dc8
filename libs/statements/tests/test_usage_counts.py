"""Counts of requests for usage reports, where statements are forwarded.

They guard against requests that two daemons count, or none, and against
counts of attempts that the database refused.
"""

from holder_fleet import new_fleet
import pytest

from siskinsail_statements import Begin
from siskinsail_statements import Commit
from siskinsail_statements import Query
from siskinsail_statements import StatementErrorCode

pytestmark = pytest.mark.anyio
Code = StatementErrorCode
READ = Query('READ 1', is_write=False)
WRITE = Query('WRITE 1 x', is_write=True)
TRANSACTION = (Begin(), READ, WRITE, Commit())


def _counts(fleet):
    """Return the requests that each daemon counted, without zeros."""
    counts = {name: one.counted() for name, one in fleet.daemons.items()}
    return {name: count for name, count in counts.items() if count}


@pytest.mark.parametrize('is_forwarded', [False, True])
@pytest.mark.parametrize(
    ('statements', 'requests'),
    [((WRITE,), 1), ((READ,), 1), ((READ, READ), 2), (TRANSACTION, 1)],
)
async def test_the_holder_counts_each_request(
    is_forwarded, statements, requests
):
    """Guards against requests that no daemon counts, or several."""
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder) if is_forwarded else None
        session = await (daemon or fleet.daemons[holder]).open()
        for number, statement in enumerate(statements):
            reply = await session.execute(f'r{number}', statement)
            assert reply.error is None
        assert _counts(fleet) == {holder: requests}


@pytest.mark.parametrize('is_forwarded', [False, True])
@pytest.mark.parametrize(
    ('queued', 'code', 'requests'),
    [
        # The proxy sends a refused write again.
        ([Code.BUSY], None, 1),
        ([Code.READ_ONLY, Code.BUSY], None, 1),
        # Nothing ran, and the caller is told so.
        ([Code.BUSY] * 9, Code.BUSY, 0),
        # The statement ran.
        ([Code.FAILED], Code.FAILED, 1),
        (['lost'], Code.IN_DOUBT, 1),
    ],
)
async def test_a_refused_attempt_is_not_counted(
    is_forwarded, queued, code, requests
):
    """Guards against counts of attempts of which no part has run."""
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder) if is_forwarded else None
        session = await (daemon or fleet.daemons[holder]).open()
        fleet.group.databases['d0'].queued_answers = list(queued)
        reply = await session.execute('w', WRITE)
        assert (reply.error and reply.error.code) is code
        assert sum(_counts(fleet).values()) == requests


@pytest.mark.parametrize(
    ('fault', 'requests'),
    [
        # The holder counted the request, and its answer is lost.
        ('loses_answer', 1),
        # It did not, which the daemon of the caller cannot know.
        ('loses_call', 0),
    ],
)
async def test_a_read_that_is_sent_again_is_not_counted_again(fault, requests):
    """Guards against a second count by another holder."""
    async with new_fleet() as fleet:
        holder = fleet.holders('d1')[0]
        daemon = fleet.other_than(holder)
        warm = await daemon.open()
        assert (await warm.execute('w', WRITE)).error is None
        before = sum(_counts(fleet).values())
        for database in ('d1', 'd2'):
            name = fleet.holders(database)[0]
            if name != daemon.name:
                setattr(fleet.link(daemon.name, name), fault, True)
        session = await daemon.open('bounded')
        assert (await session.execute('r', READ)).error is None
        has_run_twice = len(fleet.executed('r')) > 1
        assert has_run_twice is (fault == 'loses_answer')
        assert sum(_counts(fleet).values()) - before == requests

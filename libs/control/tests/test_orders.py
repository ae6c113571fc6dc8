"""Orders whose sender gives up and gives the same or a newer order elsewhere.

They guard against a late copy of an order that undoes a newer one which was
confirmed, and against a late notice that removes a database which runs again.
"""

import anyio
import msgspec
import pytest

from siskinsail_catalogue import DataCentreEntry
from siskinsail_control import LeaderClient
from siskinsail_control import OperatorAnswer
from siskinsail_control import OrderClient
from siskinsail_control import SenderGoneError
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import Placement
from siskinsail_types import VmId

from .conftest import SECRET
from .conftest import wait_until
from .test_membership import SERVER

pytestmark = pytest.mark.anyio
CENTRE = DataCentreId('b')
TIMEOUT_S = 3.0
IN, OUT = Placement.IN, Placement.OUT


class ScriptedSender:
    """Sender that gives newer orders while the first copy is on its way.

    Parameters
    ----------
    steps : list
        For each check, what the sender has done before it.
    is_waiting_after : int
        Number of checks at which the sender still waits.
    """

    def __init__(self, steps=(), is_waiting_after=100):
        self._steps = list(steps)
        self._waits_left = is_waiting_after

    async def is_waiting(self):
        if self._steps:
            await self._steps.pop(0)()
        self._waits_left -= 1
        return self._waits_left >= 0


class Member:
    """A control member that carries out orders, apart from the leader."""

    def __init__(self, fleet):
        self.client = LeaderClient(
            fleet.members, fleet.network, SECRET, VmId('x'), fleet.clock, 0.6
        )
        self.orders = OrderClient(self.client, fleet.clock)

    async def place(self, placement, sender=None):
        return await self.orders.place_data_centre(
            CENTRE, placement, sender or ScriptedSender(), TIMEOUT_S
        )


@pytest.fixture
async def member(fleet):
    member = Member(fleet)
    fleet.tasks.start_soon(member.client.run)
    await wait_until(lambda: fleet.leadership is not None)
    answer = await member.place(OUT)
    assert isinstance(answer, OperatorAnswer)
    assert answer.http_status == 200
    return member


def _placement(fleet):
    entries = fleet.log.states[0].catalogue.entries
    (centre,) = [e for e in entries if isinstance(e, DataCentreEntry)]
    return centre.placement


@pytest.mark.parametrize(
    ('late', 'newer', 'checks', 'is_carried_out', 'expected'),
    [
        # The sender had gone before the member got to its order.
        (IN, (), 0, False, OUT),
        (IN, (IN, OUT), 0, False, OUT),
        # The member was frozen after it had checked the sender.
        (IN, (IN, OUT), 1, False, OUT),
        (OUT, (IN,), 1, False, IN),
        # The newer order changes nothing, and is confirmed all the same.
        (IN, (OUT,), 1, False, OUT),
        # The sender waits all the time, beside another operator.
        (IN, (), 100, True, IN),
        (IN, (OUT, IN, OUT), 100, True, IN),
    ],
)
async def test_a_late_order_does_not_undo_a_confirmed_one(
    fleet, member, late, newer, checks, is_carried_out, expected
):
    async def give_newer_orders():
        for placement in newer:
            answer = await member.place(placement)
            assert answer.http_status == 200

    sender = ScriptedSender([give_newer_orders], checks)
    answer = await member.place(late, sender)
    if is_carried_out:
        assert answer.http_status == 200
    else:
        assert isinstance(answer, Exception), answer
    assert _placement(fleet) is expected


async def test_an_order_that_nobody_waits_for_is_certainly_not_carried_out(
    fleet, member
):
    gone = ScriptedSender(is_waiting_after=0)
    assert isinstance(await member.place(IN, gone), SenderGoneError)


async def test_the_number_of_orders_is_kept_by_the_next_leader(fleet, member):
    # Fails if a change of leader makes a late order look current.
    async def change_leader():
        assert (await member.place(IN)).http_status == 200
        assert (await member.place(OUT)).http_status == 200
        fleet.log.elect('m1')

    sender = ScriptedSender([change_leader], 1)
    assert isinstance(await member.place(IN, sender), Exception)
    assert _placement(fleet) is OUT


def _report(incarnation):
    return msgspec.structs.replace(SERVER, incarnation=incarnation, sequence=1)


@pytest.mark.parametrize(
    ('started_again', 'is_sender_waiting', 'is_acknowledged', 'is_member'),
    [
        (False, True, True, False),
        (False, False, False, True),
        (True, True, True, True),
        (True, False, False, True),
    ],
)
async def test_a_late_notice_does_not_remove_a_later_incarnation(
    fleet, member, started_again, is_sender_waiting, is_acknowledged, is_member
):
    membership = fleet.leadership.context.membership
    assert membership.record_announcement(_report(7), 0.0)

    async def start_again():
        if started_again:
            await anyio.sleep(0.01)
            assert membership.record_announcement(_report(8), 0.0)

    sender = ScriptedSender([start_again], 100 if is_sender_waiting else 0)
    acknowledged = await member.orders.deregister_database(
        DatabaseId('db'), sender, TIMEOUT_S
    )
    assert acknowledged is is_acknowledged
    assert (membership.member('db') is not None) is is_member

"""Tests the wait for the first change of primary in a new fleet.

Requests sent before that change may reach a primary that is about to be
replaced, which makes tests fail at random.
"""

import copy

import anyio
import pytest

from siskinsail_bench import small
from siskinsail_bench import wait_groups_settled
from siskinsail_bench import WaitTimeoutError
from siskinsail_types import Address

pytestmark = pytest.mark.anyio

SERVICE = 'refill-ledger-1'
PRIMARY = 'refill-ledger-1-a'
REPLICA = 'refill-ledger-1-b'
TERM = 2


class FakeFleet:
    """Fleet without processes, with fixed reports of VMs and databases."""

    def __init__(self):
        self.deployment = small()
        databases = self.deployment.databases
        view = {
            'groups': [
                {
                    'group': SERVICE,
                    'term': TERM,
                    'phase': 'steady',
                    'primary': PRIMARY,
                }
            ],
            'backends': [
                {'group': SERVICE, 'database': d.name, 'term': TERM}
                for d in databases
            ],
        }
        self.views = {
            vm.name: copy.deepcopy(view) for vm in self.deployment.vms
        }
        self.databases = {
            d.name: {
                'role': 'primary' if d.name == PRIMARY else 'replica',
                'followed_term': TERM,
                'primary': ''
                if d.name == PRIMARY
                else str(self.address(PRIMARY, 'admin')),
            }
            for d in databases
        }

    def address(self, name, port):
        return Address(f'{name}.{port}', 1)

    def operator(self):
        return self

    async def read(self, address, path):
        assert path == '/v1/status'
        return self.views[address.host.removesuffix('.operator')]

    async def database_status(self, name):
        return self.databases[name]

    async def wait_until(self, condition, timeout_s, description):
        with anyio.move_on_after(timeout_s):
            while not await condition():
                await anyio.sleep(0.01)
            return
        raise WaitTimeoutError(description)


def vm_without_response(fleet):
    fleet.views[fleet.deployment.vms[1].name] = None


def vm_without_group(fleet):
    fleet.views[fleet.deployment.vms[1].name]['groups'] = []


def vm_with_earlier_term(fleet):
    fleet.views[fleet.deployment.vms[2].name]['groups'][0]['term'] = 1


def primary_change_in_progress(fleet):
    for view in fleet.views.values():
        view['groups'][0]['phase'] = 'promoting'


def backend_in_earlier_term(fleet):
    fleet.views[fleet.deployment.vms[0].name]['backends'][1]['term'] = 1


def database_without_response(fleet):
    fleet.databases[REPLICA] = None


def primary_in_term_one(fleet):
    fleet.databases[PRIMARY]['followed_term'] = 1


def fenced_primary(fleet):
    fleet.databases[PRIMARY]['role'] = 'replica'


def replica_of_another_primary(fleet):
    fleet.databases[REPLICA]['primary'] = str(fleet.address(REPLICA, 'admin'))


async def test_wait_returns_for_settled_groups():
    await wait_groups_settled(FakeFleet(), timeout_s=0.5)


@pytest.mark.parametrize(
    'unsettle',
    [
        vm_without_response,
        vm_without_group,
        vm_with_earlier_term,
        primary_change_in_progress,
        backend_in_earlier_term,
        database_without_response,
        primary_in_term_one,
        fenced_primary,
        replica_of_another_primary,
    ],
)
async def test_wait_times_out_for_unsettled_groups(unsettle):
    fleet = FakeFleet()
    unsettle(fleet)
    with pytest.raises(WaitTimeoutError):
        await wait_groups_settled(fleet, timeout_s=0.05)

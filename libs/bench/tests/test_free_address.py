"""Guards against two processes of fleets that are given the same port.

A port is chosen before its process binds it. Tests that ran side by side, and
two processes of one fleet, took each other's ports.
"""

import pytest

from siskinsail_bench._process import free_address
from siskinsail_bench._process import port_range


def test_a_port_is_not_returned_again_before_it_is_bound():
    addresses = [free_address('127.0.0.1') for _ in range(200)]
    assert len(set(addresses)) == len(addresses)


@pytest.mark.parametrize('distance', [1, 5, 39])
def test_processes_that_run_side_by_side_have_different_ports(distance):
    first, second = port_range(1000), port_range(1000 + distance)
    assert not set(first) & set(second)

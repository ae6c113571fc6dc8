"""Reads the Prometheus metrics of daemons."""

from prometheus_client.parser import text_string_to_metric_families

from siskinsail_net import HttpClientConnection
from siskinsail_net import TcpNetwork

from ._fleet import Fleet

_TIMEOUT_S = 5.0


async def metric_total(fleet: Fleet, name: str) -> float:
    """Return the sum of a metric over all labels and all entry VMs.

    Parameters
    ----------
    name : str
        Sample name of the metric; ends in ``_total`` for a counter.

    Raises
    ------
    TransportError
        If a daemon does not respond.
    """
    vms = fleet.deployment.vms
    return sum([await _vm_metric_total(fleet, vm.name, name) for vm in vms])


async def read_metrics(fleet: Fleet, vm: str) -> bytes:
    """Return the metrics page of an entry VM.

    Raises
    ------
    TransportError
        If the daemon does not respond.
    """
    connection = await HttpClientConnection.connect(
        TcpNetwork(), fleet.address(vm, 'operator'), _TIMEOUT_S
    )
    try:
        response = await connection.request(
            'GET', '/metrics', timeout_s=_TIMEOUT_S
        )
    finally:
        await connection.aclose()
    return response.body


async def _vm_metric_total(fleet: Fleet, vm: str, name: str) -> float:
    page = await read_metrics(fleet, vm)
    return sum(
        sample.value
        for family in text_string_to_metric_families(page.decode())
        for sample in family.samples
        if sample.name == name
    )

"""Tests the fault proxy of the soak.

The client must observe each injected fault: otherwise a soak would pass
without the faults that it reports.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import time

import anyio
import anyio.abc
import pytest

from siskinsail_bench._fault_proxy import Direction
from siskinsail_bench._fault_proxy import FaultLink
from siskinsail_bench._fault_proxy import LinkFaults
from siskinsail_bench._process import free_address
from siskinsail_bench._soak import run_soak_seed

pytestmark = pytest.mark.anyio
HOST = '127.0.0.1'
NO_DATA_WAIT_S = 0.2
DEADLINE_S = 5.0
# Includes resets, a killed primary and black-holed connections.
SOAK_SEED = 83


async def _serve_echo(stream: anyio.abc.SocketStream) -> None:
    async with stream:
        while True:
            try:
                await stream.send(await stream.receive())
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return


@asynccontextmanager
async def _link() -> AsyncIterator[tuple[FaultLink, anyio.abc.SocketStream]]:
    local, remote = free_address(HOST), free_address('127.0.0.2')
    listener = await anyio.create_tcp_listener(
        local_host=remote.host, local_port=remote.port
    )
    link = FaultLink(local, remote)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, _serve_echo)
        await tasks.start(link.serve)
        async with await anyio.connect_tcp(local.host, local.port) as stream:
            await stream.send(b'a')
            assert await stream.receive() == b'a'
            yield link, stream
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def _receive_within_wait(stream: anyio.abc.SocketStream) -> bytes | None:
    with anyio.move_on_after(NO_DATA_WAIT_S):
        return await stream.receive()
    return None


async def test_a_delay_applies_in_each_direction():
    async with _link() as (link, stream):
        link.set_faults(LinkFaults(delay_s=0.1))
        started_s = time.monotonic()
        await stream.send(b'b')
        with anyio.fail_after(DEADLINE_S):
            assert await stream.receive() == b'b'
        assert time.monotonic() - started_s >= 0.2


async def test_a_reset_reaches_the_client():
    async with _link() as (link, stream):
        link.reset_all()
        with (
            anyio.fail_after(DEADLINE_S),
            pytest.raises(anyio.BrokenResourceError),
        ):
            await stream.receive()
        with anyio.fail_after(DEADLINE_S):
            while link.open_connections:
                await anyio.sleep(0.01)


@pytest.mark.parametrize('direction', list(Direction))
async def test_held_bytes_arrive_when_they_are_released(direction: Direction):
    async with _link() as (link, stream):
        link.set_faults(LinkFaults(blocked_directions=frozenset((direction,))))
        await stream.send(b'b')
        assert await _receive_within_wait(stream) is None
        link.set_faults(LinkFaults())
        with anyio.fail_after(DEADLINE_S):
            assert await stream.receive() == b'b'


async def test_black_holed_connections_stay_black_holed_and_new_ones_work():
    async with _link() as (link, stream):
        link.blackhole_all()
        await stream.send(b'b')
        assert await _receive_within_wait(stream) is None
        address = stream.extra(anyio.abc.SocketAttribute.remote_address)
        async with await anyio.connect_tcp(*address) as new_stream:
            await new_stream.send(b'c')
            with anyio.fail_after(DEADLINE_S):
                assert await new_stream.receive() == b'c'


async def test_a_connection_to_a_stopped_server_is_refused():
    link = FaultLink(free_address(HOST), free_address('127.0.0.2'))
    async with anyio.create_task_group() as tasks:
        await tasks.start(link.serve)
        local = link._local
        async with await anyio.connect_tcp(local.host, local.port) as stream:
            with (
                anyio.fail_after(DEADLINE_S),
                pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)),
            ):
                await stream.receive()
        tasks.cancel_scope.cancel()


async def test_a_short_soak_keeps_the_guarantees(tmp_path):
    # Real processes behind the proxy; longer runs are started manually.
    report = await run_soak_seed(SOAK_SEED, tmp_path, load_s=4.0)
    assert not report.violations, report.text()

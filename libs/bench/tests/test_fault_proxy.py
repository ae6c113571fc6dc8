"""Guards the proxy of the soak: each fault reaches both ends as named."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import time

import anyio
import anyio.abc
import pytest

from siskinsail_bench._fault_proxy import FaultLink
from siskinsail_bench._fault_proxy import LinkFaults
from siskinsail_bench._fault_proxy import Way
from siskinsail_bench._process import free_address
from siskinsail_bench._soak import run_soak_seed

pytestmark = pytest.mark.anyio
HOST = '127.0.0.1'
SHORT_S = 0.2
DEADLINE_S = 5.0
# Resets, a primary that is killed, and connections that go silent.
SOAK_SEED = 83


async def _echo(stream: anyio.abc.SocketStream) -> None:
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
        tasks.start_soon(listener.serve, _echo)
        await tasks.start(link.serve)
        async with await anyio.connect_tcp(local.host, local.port) as stream:
            await stream.send(b'a')
            assert await stream.receive() == b'a'
            yield link, stream
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def _answer(stream: anyio.abc.SocketStream) -> bytes | None:
    with anyio.move_on_after(SHORT_S):
        return await stream.receive()
    return None


async def test_a_delay_counts_each_way():
    async with _link() as (link, stream):
        link.set_faults(LinkFaults(delay_s=0.1))
        started_s = time.monotonic()
        await stream.send(b'b')
        with anyio.fail_after(DEADLINE_S):
            assert await stream.receive() == b'b'
        assert time.monotonic() - started_s >= 0.2


async def test_a_reset_reaches_the_caller():
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


@pytest.mark.parametrize('way', list(Way))
async def test_held_bytes_arrive_when_they_are_released(way: Way):
    async with _link() as (link, stream):
        link.set_faults(LinkFaults(held=frozenset((way,))))
        await stream.send(b'b')
        assert await _answer(stream) is None
        link.set_faults(LinkFaults())
        with anyio.fail_after(DEADLINE_S):
            assert await stream.receive() == b'b'


async def test_silent_connections_stay_silent_and_new_ones_work():
    async with _link() as (link, stream):
        link.silence_all()
        await stream.send(b'b')
        assert await _answer(stream) is None
        address = stream.extra(anyio.abc.SocketAttribute.remote_address)
        async with await anyio.connect_tcp(*address) as other:
            await other.send(b'c')
            with anyio.fail_after(DEADLINE_S):
                assert await other.receive() == b'c'


async def test_a_server_that_is_gone_refuses():
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


async def test_a_short_soak_keeps_the_promises(tmp_path):
    # Real processes behind the proxy; longer runs are started by hand.
    report = await run_soak_seed(SOAK_SEED, tmp_path, load_s=4.0)
    assert not report.problems, report.text()

"""Misbehaving HTTP clients neither end a daemon nor fill its memory.

Fails if ``siskinsaild`` ends, holds more memory or descriptors than its
machine has, or answers ordinary requests no longer, because of what one of
the groups in the table sends.
"""

from contextlib import asynccontextmanager
import os
from pathlib import Path
import resource
import subprocess
import sys

import anyio
from misbehaving import group_of_clients
from misbehaving import GROUP_S
from misbehaving import MAX_FDS
from misbehaving import MEMORY_MB
from misbehaving import MIB
from misbehaving import one_at_a_time
from misbehaving import retry_until_answered
from misbehaving import send_in_pieces
from misbehaving import Watch
import pytest

from siskinsail_net import HttpClientConnection
from siskinsail_net import TcpNetwork
from siskinsail_types import Address

pytestmark = [pytest.mark.anyio, pytest.mark.process]

NETWORK = TcpNetwork('127.0.0.1')
PATH = '/v1/routes/orders/statements'
LEGAL = MIB - 4096
START_TIMEOUT_S = 20.0


def _addresses():
    """Return loopback addresses that no other test process uses."""
    high, low = divmod(os.getpid(), 250)
    host = f'127.{180 + high % 60}.{low}.1'
    return {
        name: Address(host, port)
        for name, port in (
            ('client', 8080),
            ('peer', 8081),
            ('operator', 8082),
        )
    }


def _start(flags, limits):
    return subprocess.Popen(
        [
            Path(sys.executable).with_name('siskinsaild'),
            *(f'--{name}={value}' for name, value in flags.items()),
        ],
        env=os.environ | limits,
    )


@asynccontextmanager
async def _running_daemon(folder):
    addresses = _addresses()
    flags = {
        'vm': 'e1',
        'data_centre': 'accra-tema',
        'client_address': addresses['client'],
        'peer_address': addresses['peer'],
        'operator_address': addresses['operator'],
        'control_members': f'e1={addresses["peer"]}',
        'fleet_secret': 'secret',
        'data_folder': folder / 'data',
        'log_file': folder / 'e1.jsonl',
    }
    limits = {
        'SISKINSAIL_MEMORY_MB': str(MEMORY_MB),
        'SISKINSAIL_MAX_FDS': str(MAX_FDS),
    }
    process = _start(flags, limits)
    try:
        yield addresses, process
    finally:
        process.kill()
        process.wait()


def _post(body, length=None):
    size = len(body) if length is None else length
    head = f'POST {PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n'
    return head.encode() + body


async def _whole_bodies(stream):
    for _ in range(5):
        await stream.send(_post(b'[' + b'1,' * (LEGAL // 2) + b'1]'))


async def _bodies_in_pieces(stream):
    for _ in range(3):
        await send_in_pieces(stream, _post(b'{' * LEGAL), 4096)


async def _half_bodies(stream):
    await stream.send(_post(b'{' * (LEGAL - 100), LEGAL))


async def _bodies_over_the_limit(stream):
    await stream.send(_post(b'', 100 * MIB))
    for _ in range(20):
        await stream.send(b'{' * MIB)


async def _half_headers(stream):
    await stream.send(b'GET /metrics HTTP/1.1\r\nx-a: ' + b'h' * 8000)


async def _pipelined_requests(stream):
    for _ in range(20):
        await stream.send(b'GET /x HTTP/1.1\r\n\r\n' * 3000)


async def _unread_metrics(stream):
    await stream.send(b'GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n' * 2000)


CASES = [
    ('whole bodies', 'client', _whole_bodies, 60),
    ('bodies in pieces', 'client', _bodies_in_pieces, 60),
    ('half bodies', 'client', _half_bodies, 120),
    ('bodies over the limit', 'client', _bodies_over_the_limit, 60),
    ('pipelined requests', 'client', _pipelined_requests, 60),
    ('half headers', 'client', _half_headers, 400),
    ('half bodies of operators', 'operator', _half_bodies, 120),
    ('unread metrics', 'operator', _unread_metrics, 100),
]


async def _request(address, method, path, expected):
    connection = await HttpClientConnection.connect(NETWORK, address, 5.0)
    try:
        answer = await connection.request(method, path, timeout_s=5.0)
    finally:
        await connection.aclose()
    return answer.status in expected


async def _ask_all(addresses):
    # No catalogue is in force, so an ordinary statement has no route.
    await retry_until_answered(
        lambda: _request(addresses['client'], 'POST', PATH, (400, 401, 404))
    )
    await retry_until_answered(
        lambda: _request(addresses['operator'], 'GET', '/metrics', (200,))
    )


async def _run_group(tmp_path, target, function, count, *, limit_fds=False):
    async with _running_daemon(tmp_path) as (addresses, process):
        await _ask_all(addresses)
        if limit_fds:
            resource.prlimit(
                process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)
            )
        watch = Watch({'e1': process})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            async with group_of_clients() as group:
                group.add(addresses[target], function, count)
                await anyio.sleep(GROUP_S)
                watch.check()
                if not limit_fds:
                    await _ask_all(addresses)
            await _ask_all(addresses)
            tasks.cancel_scope.cancel()
        watch.check()


@pytest.mark.parametrize(
    ('name', 'target', 'function', 'count'),
    CASES,
    ids=[case[0].replace(' ', '-') for case in CASES],
)
async def test_a_group_of_misbehaving_http_clients_is_contained(
    tmp_path, name, target, function, count
):
    with one_at_a_time():
        await _run_group(tmp_path, target, function, count)


async def test_a_daemon_without_free_descriptors_recovers(tmp_path):
    """Guards against a server that ends or spins when accept() fails."""
    with one_at_a_time():
        await _run_group(
            tmp_path, 'client', _half_headers, 400, limit_fds=True
        )

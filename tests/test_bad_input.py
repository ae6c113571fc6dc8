"""Guards that bad input gets a typed answer and disturbs nobody else."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
import json
import secrets

import anyio
import pytest
from scenario import running
from scenario import Scenario

from siskinsail_net import encode_frame
from siskinsail_net import Frame
from siskinsail_net import FrameKind
from siskinsail_net import FrameStream
from siskinsail_net import HttpClientConnection
from siskinsail_net import HttpResponse
from siskinsail_net import MAX_BODY_BYTES
from siskinsail_net import MAX_HEADER_BYTES
from siskinsail_net import NONCE_BYTES
from siskinsail_net import PROTOCOL_VERSION
from siskinsail_net import TcpNetwork

pytestmark = [pytest.mark.anyio, pytest.mark.process]

NETWORK = TcpNetwork('127.0.0.1')
TIMEOUT_S = 5.0
WRITE = '/v1/routes/refill-ledger-1-write/statements'
APPLY = '/v1/catalogue/apply'
WRONG_KEY = secrets.token_urlsafe(24)


def _body(**statement) -> bytes:
    return json.dumps({'statements': [statement]}).encode()


GOOD = _body(op='put', table='orders', key='account-1/x', value=1)


@dataclass(frozen=True)
class Row:
    """One bad request and the answer that it must get."""

    name: str
    status: int
    code: str
    port: str = 'client'
    path: str = WRITE
    body: bytes = GOOD
    # Key of the caller: given, wrong or none.
    key: str = 'given'
    headers: dict[str, str] = field(default_factory=dict)


ROWS = [
    Row('not JSON', 400, 'malformed_request', body=b'{'),
    Row('not UTF-8', 400, 'malformed_request', body=b'\xff\xfe'),
    Row('no statement', 400, 'malformed_request', body=b'{"statements":[]}'),
    Row(
        'unknown operation',
        400,
        'malformed_request',
        body=_body(op='drop', table='orders', key='account-1/x'),
    ),
    Row(
        'table of the proxy',
        400,
        'malformed_request',
        body=_body(op='get', table='siskinsail_requests', key='account-2/x'),
    ),
    Row('body too large', 413, 'too_large', body=b'x' * (MAX_BODY_BYTES + 1)),
    Row(
        'header too large',
        413,
        'too_large',
        headers={'x-long': 'x' * (MAX_HEADER_BYTES + 1)},
    ),
    Row(
        'deadline too long',
        400,
        'malformed_request',
        headers={'siskinsail-deadline': '30001'},
    ),
    Row(
        'forged session',
        400,
        'malformed_request',
        headers={'siskinsail-session': 'AAAA'},
    ),
    Row('no such path', 404, 'unknown_route', path='/v1/databases/a'),
    Row(
        'no such service',
        404,
        'unknown_route',
        path='/v1/routes/no-such-service-write/statements',
    ),
    Row('no key', 401, 'unauthorized', key=''),
    Row('wrong key', 401, 'unauthorized', key='wrong'),
    Row(
        'statement outside its transaction',
        404,
        'unknown_transaction',
        path='/v1/transactions/{vm}~refill-ledger-1~x/statements',
    ),
    Row(
        'transaction of another entry VM',
        421,
        'transaction_not_here',
        path='/v1/transactions/other~refill-ledger-1~x/statements',
    ),
    Row(
        'transaction of another account',
        404,
        'unknown_transaction',
        path='/v1/transactions/{transaction}/statements',
    ),
    Row(
        'announcement that is not JSON',
        400,
        'malformed_request',
        'operator',
        '/v1/announce',
        b'{',
    ),
    Row(
        'announcement without fields',
        400,
        'malformed_request',
        'operator',
        '/v1/announce',
        b'{"group":"refill-ledger-1"}',
    ),
    Row('caller as operator', 401, 'unauthorized', 'operator', APPLY),
    Row('no such operator path', 404, 'unknown_path', 'operator', '/v1/drop'),
]


async def _send(
    scenario: Scenario, vm: str, row: Row, transaction: str
) -> HttpResponse:
    keys = {
        'given': scenario.clients[0].key.reveal(),
        'wrong': WRONG_KEY,
    }
    headers = {'siskinsail-request-id': row.name.replace(' ', '-')}
    if row.key:
        headers['authorization'] = f'Bearer {keys[row.key]}'
    connection = await HttpClientConnection.connect(
        NETWORK, scenario.fleet.address(vm, row.port), TIMEOUT_S
    )
    try:
        return await connection.request(
            'POST',
            row.path.format(vm=vm, transaction=transaction),
            body=row.body,
            headers=headers | row.headers,
            timeout_s=TIMEOUT_S,
        )
    finally:
        await connection.aclose()


@asynccontextmanager
async def _peer_frames(
    scenario: Scenario, vm: str
) -> AsyncIterator[FrameStream]:
    address = scenario.fleet.address(vm, 'peer')
    frames = FrameStream(await NETWORK.connect(address, TIMEOUT_S))
    try:
        yield frames
    finally:
        await frames.aclose()


async def _refused_version(frames: FrameStream) -> Frame:
    hello = Frame(FrameKind.REQUEST, 1, 'control.sync', b'')
    later = encode_frame(hello, version=PROTOCOL_VERSION + 1)
    await frames._stream.send(later)
    return await frames.receive()


async def _refused_secret(frames: FrameStream) -> Frame:
    nonce = secrets.token_bytes(NONCE_BYTES)
    await frames.send(Frame(FrameKind.CHALLENGE, 0, '', nonce, 'intruder'))
    await frames.receive()
    frames.start_decompression()
    proof = secrets.token_bytes(32)
    await frames.send(Frame(FrameKind.PROOF, 0, '', proof))
    return await frames.receive()


async def _garbage(frames: FrameStream) -> Frame:
    await frames._stream.send(b'\0\0\0\3abc')
    return await frames.receive()


PEER_ROWS = [
    ('another version', _refused_version, 'VersionMismatchError'),
    ('wrong fleet secret', _refused_secret, 'PeerAuthenticationError'),
    ('garbage', _garbage, 'ProtocolError'),
]


def _logs(scenario: Scenario) -> str:
    folder = scenario.fleet.records.parent / 'logs'
    return '\n'.join(path.read_text() for path in folder.iterdir())


async def test_bad_input_has_typed_answers_and_disturbs_nobody(tmp_path):
    async with running(tmp_path) as scenario:
        vm = scenario.fleet.deployment.vms[0].name
        sessions = [scenario.session(number) for number in range(3)]
        owner = scenario.session(1).caller
        await owner.move(scenario.fleet.address(vm, 'client'))
        begun = await owner.begin(f'{scenario.service}-transaction')
        assert begun.is_answered
        async with scenario.load(sessions) as wait_for_orders:
            for row in ROWS:
                answer = await _send(scenario, vm, row, begun.transaction)
                error = json.loads(answer.body).get('error')
                assert error is not None, f'{row.name}: not refused'
                found = (answer.status, error['code'])
                assert found == (row.status, row.code), (row.name, error)
                if row.port == 'client':
                    assert error['outcome'] == 'not_run', row.name
            for name, send, wanted in PEER_ROWS:
                refusal = None
                async with _peer_frames(scenario, vm) as frames:
                    with anyio.move_on_after(TIMEOUT_S):
                        refusal = await send(frames)
                # An accepted peer gets no answer before it calls.
                assert refusal is not None, f'{name}: not refused'
                assert refusal.kind is FrameKind.FAILURE, f'{name}: accepted'
                assert refusal.method == wanted, f'{name}: {refusal.method}'
            await wait_for_orders(5)
        refused = [s.tally.refused for s in sessions if s.tally.refused]
        assert not refused, refused
        assert (await owner.rollback(begun.transaction)).is_answered
        log = _logs(scenario)
        for row in ROWS:
            if row.port == 'client' and row.code != 'too_large':
                assert row.name.replace(' ', '-') in log, row.name
        for _, _, wanted in PEER_ROWS:
            assert wanted in log
        keys = [client.key.reveal() for client in scenario.clients]
        assert not [key for key in [*keys, WRONG_KEY] if key in log]
        await scenario.check()

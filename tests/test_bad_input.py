"""Invalid input gets an answer with an error code and affects no one else.

Fails if invalid HTTP requests or peer frames are accepted, get no answer or
another error code, or if they disturb the requests of other callers.
"""

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
WRITE_PATH = '/v1/routes/refill-ledger-1-write/statements'
APPLY_PATH = '/v1/catalogue/apply'
WRONG_KEY = secrets.token_urlsafe(24)


def _body(**statement) -> bytes:
    return json.dumps({'statements': [statement]}).encode()


VALID_BODY = _body(op='put', table='orders', key='account-1/x', value=1)


@dataclass(frozen=True)
class BadRequest:
    """An invalid request and the status and error code of its answer."""

    name: str
    status: int
    code: str
    port: str = 'client'
    path: str = WRITE_PATH
    body: bytes = VALID_BODY
    # Key of the caller: 'given', 'wrong', or empty for none.
    key: str = 'given'
    headers: dict[str, str] = field(default_factory=dict)


BAD_REQUESTS = [
    BadRequest('not JSON', 400, 'malformed_request', body=b'{'),
    BadRequest('not UTF-8', 400, 'malformed_request', body=b'\xff\xfe'),
    BadRequest(
        'no statement', 400, 'malformed_request', body=b'{"statements":[]}'
    ),
    BadRequest(
        'unknown operation',
        400,
        'malformed_request',
        body=_body(op='drop', table='orders', key='account-1/x'),
    ),
    BadRequest(
        'table of the proxy',
        400,
        'malformed_request',
        body=_body(op='get', table='siskinsail_requests', key='account-2/x'),
    ),
    BadRequest(
        'body too large', 413, 'too_large', body=b'x' * (MAX_BODY_BYTES + 1)
    ),
    BadRequest(
        'header too large',
        413,
        'too_large',
        headers={'x-long': 'x' * (MAX_HEADER_BYTES + 1)},
    ),
    BadRequest(
        'deadline too long',
        400,
        'malformed_request',
        headers={'siskinsail-deadline': '30001'},
    ),
    BadRequest(
        'forged session',
        400,
        'malformed_request',
        headers={'siskinsail-session': 'AAAA'},
    ),
    BadRequest('no such path', 404, 'unknown_route', path='/v1/databases/a'),
    BadRequest(
        'no such service',
        404,
        'unknown_route',
        path='/v1/routes/no-such-service-write/statements',
    ),
    BadRequest('no key', 401, 'unauthorized', key=''),
    BadRequest('wrong key', 401, 'unauthorized', key='wrong'),
    BadRequest(
        'statement outside its transaction',
        404,
        'unknown_transaction',
        path='/v1/transactions/{vm}~refill-ledger-1~x/statements',
    ),
    BadRequest(
        'transaction of another entry VM',
        421,
        'transaction_not_here',
        path='/v1/transactions/other~refill-ledger-1~x/statements',
    ),
    BadRequest(
        'transaction of another account',
        404,
        'unknown_transaction',
        path='/v1/transactions/{transaction}/statements',
    ),
    BadRequest(
        'announcement that is not JSON',
        400,
        'malformed_request',
        'operator',
        '/v1/announce',
        b'{',
    ),
    BadRequest(
        'announcement without fields',
        400,
        'malformed_request',
        'operator',
        '/v1/announce',
        b'{"group":"refill-ledger-1"}',
    ),
    BadRequest(
        'caller as operator', 401, 'unauthorized', 'operator', APPLY_PATH
    ),
    BadRequest(
        'no such operator path', 404, 'unknown_path', 'operator', '/v1/drop'
    ),
]


async def _send(
    scenario: Scenario, vm: str, bad_request: BadRequest, transaction: str
) -> HttpResponse:
    keys = {
        'given': scenario.clients[0].key.reveal(),
        'wrong': WRONG_KEY,
    }
    headers = {'siskinsail-request-id': bad_request.name.replace(' ', '-')}
    if bad_request.key:
        headers['authorization'] = f'Bearer {keys[bad_request.key]}'
    connection = await HttpClientConnection.connect(
        NETWORK, scenario.fleet.address(vm, bad_request.port), TIMEOUT_S
    )
    try:
        return await connection.request(
            'POST',
            bad_request.path.format(vm=vm, transaction=transaction),
            body=bad_request.body,
            headers=headers | bad_request.headers,
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


async def _send_wrong_version(frames: FrameStream) -> Frame:
    hello = Frame(FrameKind.REQUEST, 1, 'control.sync', b'')
    later = encode_frame(hello, version=PROTOCOL_VERSION + 1)
    await frames._stream.send(later)
    return await frames.receive()


async def _send_wrong_secret(frames: FrameStream) -> Frame:
    nonce = secrets.token_bytes(NONCE_BYTES)
    await frames.send(Frame(FrameKind.CHALLENGE, 0, '', nonce, 'intruder'))
    await frames.receive()
    frames.start_decompression()
    proof = secrets.token_bytes(32)
    await frames.send(Frame(FrameKind.PROOF, 0, '', proof))
    return await frames.receive()


async def _send_garbage(frames: FrameStream) -> Frame:
    await frames._stream.send(b'\0\0\0\3abc')
    return await frames.receive()


BAD_PEERS = [
    ('another version', _send_wrong_version, 'VersionMismatchError'),
    ('wrong fleet secret', _send_wrong_secret, 'PeerAuthenticationError'),
    ('garbage', _send_garbage, 'ProtocolError'),
]


def _daemon_logs(scenario: Scenario) -> str:
    folder = scenario.fleet.records.parent / 'logs'
    return '\n'.join(path.read_text() for path in folder.iterdir())


async def test_bad_input_has_typed_answers_and_disturbs_nobody(tmp_path):
    async with running(tmp_path) as scenario:
        vm = scenario.fleet.deployment.vms[0].name
        sessions = [scenario.session(number) for number in range(3)]
        owner = scenario.session(1).caller
        await owner.change_address(scenario.fleet.address(vm, 'client'))
        begun = await owner.begin(f'{scenario.service}-transaction')
        assert begun.is_answered
        async with scenario.load(sessions) as wait_for_orders:
            for bad_request in BAD_REQUESTS:
                answer = await _send(
                    scenario, vm, bad_request, begun.transaction
                )
                error = json.loads(answer.body).get('error')
                assert error is not None, f'{bad_request.name}: not refused'
                received = (answer.status, error['code'])
                assert received == (bad_request.status, bad_request.code), (
                    bad_request.name,
                    error,
                )
                if bad_request.port == 'client':
                    assert error['outcome'] == 'not_run', bad_request.name
            for name, send, expected in BAD_PEERS:
                refusal = None
                async with _peer_frames(scenario, vm) as frames:
                    with anyio.move_on_after(TIMEOUT_S):
                        refusal = await send(frames)
                # A peer that was accepted gets no answer until it makes a
                # call, so no answer means that the peer was not refused.
                assert refusal is not None, f'{name}: not refused'
                assert refusal.kind is FrameKind.FAILURE, f'{name}: accepted'
                assert refusal.method == expected, f'{name}: {refusal.method}'
            await wait_for_orders(5)
        refused = [
            s.outcome_counts.refused
            for s in sessions
            if s.outcome_counts.refused
        ]
        assert not refused, refused
        assert (await owner.rollback(begun.transaction)).is_answered
        log = _daemon_logs(scenario)
        for bad_request in BAD_REQUESTS:
            if (
                bad_request.port == 'client'
                and bad_request.code != 'too_large'
            ):
                assert bad_request.name.replace(' ', '-') in log, (
                    bad_request.name
                )
        for _, _, expected in BAD_PEERS:
            assert expected in log
        keys = [client.key.reveal() for client in scenario.clients]
        assert not [key for key in [*keys, WRONG_KEY] if key in log]
        await scenario.check()

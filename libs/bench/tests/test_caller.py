"""Tests the retries of a caller and the outcomes that it records.

A write without an idempotency key must not be retried after an unknown
outcome, because it could run twice.
"""

import anyio
import pytest

from siskinsail_bench import Caller
from siskinsail_bench import CallerSettings
from siskinsail_bench import CallOutcome
from siskinsail_bench import load_records
from siskinsail_net import HttpRequest
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import SystemClock

pytestmark = pytest.mark.anyio
PUT = {'op': 'put', 'table': 't', 'key': 'a/k', 'value': 1}


def _refusal_body(code: str, outcome: str) -> dict:
    error = {'code': code, 'outcome': outcome, 'retry_after_s': 0.01}
    return {'error': error}


class _FakeDaemon:
    """Responds with the given statuses and bodies, in order."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.requests: list[HttpRequest] = []

    async def answer(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        status, body = self.answers.pop(0)
        response = HttpResponse.json(status, body)
        request_id = request.headers['siskinsail-request-id']
        response.headers['siskinsail-request-id'] = request_id
        response.headers['siskinsail-session'] = f'token-{status}'
        return response


@pytest.mark.parametrize(
    ('answers', 'key', 'outcome', 'attempts'),
    [
        ([(200, {'results': [{}]})], '', CallOutcome.ANSWERED, 1),
        (
            [
                (503, _refusal_body('no_primary', 'not_run')),
                (200, {'results': [{}]}),
            ],
            '',
            CallOutcome.ANSWERED,
            2,
        ),
        # Without an idempotency key, a retry could run the write twice.
        (
            [(504, _refusal_body('outcome_unknown', 'unknown'))],
            '',
            CallOutcome.UNKNOWN,
            1,
        ),
        (
            [
                (504, _refusal_body('outcome_unknown', 'unknown')),
                (200, {'results': [{}]}),
            ],
            'same',
            CallOutcome.ANSWERED,
            2,
        ),
        (
            [(401, _refusal_body('key_withdrawn', 'not_run'))],
            'same',
            CallOutcome.NOT_RUN,
            1,
        ),
        ([(503, 'nonsense')], '', CallOutcome.UNKNOWN, 1),
    ],
)
async def test_outcomes_and_retries(answers, key, outcome, attempts, tmp_path):
    daemon = _FakeDaemon(*answers)
    async with anyio.create_task_group() as tasks:
        server = HttpServer(TcpNetwork(), daemon.answer, HttpResponse)
        address = await tasks.start(server.serve, Address('127.0.0.1', 0))
        caller = Caller(
            CallerSettings(
                session='s',
                account='a',
                key=Secret('k'),
                address=address,
                retry_s=5.0,
            ),
            TcpNetwork(),
            SystemClock(),
            tmp_path / 'caller-s.jsonl',
        )
        answer = await caller.run('one-write', [PUT], idempotency_key=key)
        assert (answer.outcome, answer.attempts) == (outcome, attempts)
        await caller.aclose()
        tasks.cancel_scope.cancel()
    records = load_records(tmp_path).callers
    assert [record.attempt for record in records] == [*range(1, attempts + 1)]
    assert len({record.request_id for record in records}) == attempts
    for request in daemon.requests:
        assert request.headers.get('idempotency-key', '') == key
        assert request.headers['authorization'] == 'Bearer k'
    if attempts == 2:
        token = daemon.requests[1].headers['siskinsail-session']
        assert token == f'token-{answers[0][0]}'


async def test_no_connection_is_not_run(tmp_path):
    settings = CallerSettings(
        session='s',
        account='a',
        key=Secret('k'),
        address=Address('127.0.0.1', 1),
    )
    caller = Caller(settings, TcpNetwork(), SystemClock())
    answer = await caller.run('one-write', [PUT])
    assert answer.outcome is CallOutcome.NOT_RUN
    assert answer.code == 'connect_failed'

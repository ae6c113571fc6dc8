"""Tests of the relay of control calls of other daemons.

They guard against a relay that passes on calls that it must refuse, and
against one that keeps an origin waiting.
"""

import anyio
import prometheus_client
import pytest

from siskinsail_control import ControlMetrics
from siskinsail_control import ControlSettings
from siskinsail_control import RelayService
from siskinsail_control._leader_connection import LeaderConnection
from siskinsail_control._messages import BORROW_METHOD
from siskinsail_control._messages import decode_message
from siskinsail_control._messages import encode_message
from siskinsail_control._messages import OPERATOR_METHOD
from siskinsail_control._messages import RELAY_METHOD
from siskinsail_control._messages import RelayAnswer
from siskinsail_control._messages import RELAYED_METHOD
from siskinsail_control._messages import RelayRequest
from siskinsail_control._messages import RelayStatus
from siskinsail_control._messages import REPORT_METHOD
from siskinsail_control._messages import SYNC_METHOD
from siskinsail_control._relay_slots import MAX_ORIGINS
from siskinsail_net import PeerCallError
from siskinsail_types import CallTimeoutError
from siskinsail_types import ManualClock
from siskinsail_types import VmId

pytestmark = pytest.mark.anyio

SETTINGS = ControlSettings(relays_control_calls=True)
ORIGIN = VmId('d0')


class FakeClient:
    """Client of the leader that records the calls."""

    def __init__(self, error=None) -> None:
        self.calls = []
        self._error = error

    async def call(self, method, payload, timeout_s) -> bytes:
        self.calls.append((method, payload, timeout_s))
        if self._error is not None:
            raise self._error
        return b'answer'


class StuckClient:
    """Client of a leader that does not answer."""

    def __init__(self) -> None:
        self.called = anyio.Event()

    async def call(self, method, payload, timeout_s) -> bytes:
        self.called.set()
        await anyio.sleep_forever()


class Source:
    """Source of a connection to the leader, set by the test."""

    def __init__(self, client=None) -> None:
        self.leader_connection = client and LeaderConnection(client)


def _service(source, clock=None):
    metrics = ControlMetrics(prometheus_client.CollectorRegistry())
    service = RelayService(SETTINGS, source, clock or ManualClock(), metrics)
    return service, metrics


async def _relay(service, method=SYNC_METHOD, origin=ORIGIN, timeout_s=0.75):
    request = RelayRequest(method, b'call', origin, timeout_s)
    answer = await service.handle(ORIGIN, encode_message(request))
    return decode_message(RelayAnswer, answer)


@pytest.mark.parametrize('method', [SYNC_METHOD, BORROW_METHOD, REPORT_METHOD])
async def test_a_call_is_passed_on_as_a_call_of_its_origin(method):
    """Guards against an answer or a lease for the relay itself."""
    client = FakeClient()
    service, metrics = _service(Source(client))
    answer = await _relay(service, method)
    assert answer == RelayAnswer(RelayStatus.OK, b'answer')
    ((called, payload, _),) = client.calls
    assert called == RELAYED_METHOD
    request = decode_message(RelayRequest, payload)
    assert request == RelayRequest(method, b'call', ORIGIN)
    assert metrics.relayed_calls.labels(method, 'ok')._value.get() == 1


@pytest.mark.parametrize(
    ('cause', 'client', 'request_fields', 'status'),
    [
        ('no lease', None, {}, RelayStatus.UNAVAILABLE),
        (
            'another origin',
            FakeClient(),
            {'origin': VmId('d1')},
            RelayStatus.FORBIDDEN,
        ),
        ('no origin', FakeClient(), {'origin': ''}, RelayStatus.FORBIDDEN),
        (
            'an operator request',
            FakeClient(),
            {'method': OPERATOR_METHOD},
            RelayStatus.FORBIDDEN,
        ),
        (
            'a second hop',
            FakeClient(),
            {'method': RELAY_METHOD},
            RelayStatus.FORBIDDEN,
        ),
        (
            'a frozen leader',
            FakeClient(CallTimeoutError('')),
            {},
            RelayStatus.UNANSWERED,
        ),
        (
            'a member of an earlier version',
            FakeClient(PeerCallError('ProtocolError', 'unknown method')),
            {},
            RelayStatus.UNANSWERED,
        ),
    ],
)
async def test_a_relay_refuses_with_a_status(
    cause, client, request_fields, status
):
    """Guards against an origin that gets no answer and waits."""
    service, metrics = _service(Source(client))
    answer = await _relay(service, **request_fields)
    assert answer == RelayAnswer(status), cause
    # Names of unknown methods must not become values of metrics.
    method = request_fields.get('method', SYNC_METHOD)
    label = method if method == SYNC_METHOD else 'other'
    count = metrics.relayed_calls.labels(label, status.value)._value.get()
    assert count == 1
    if client is not None and status is RelayStatus.FORBIDDEN:
        assert client.calls == []


async def test_a_relay_with_all_slots_taken_refuses():
    """Guards against a small machine that relays for half of a fleet."""
    client = FakeClient()
    service, _ = _service(Source(client))
    for number in range(MAX_ORIGINS):
        origin = VmId(f'other-{number}')
        request = RelayRequest(SYNC_METHOD, b'', origin, 0.75)
        await service.handle(origin, encode_message(request))
    assert (await _relay(service)).status is RelayStatus.FULL
    assert len(client.calls) == MAX_ORIGINS


@pytest.mark.parametrize(
    ('timeout_s', 'passed_on_s'),
    [(0.3, 0.3), (60.0, SETTINGS.call_timeout_s), (-1.0, -1.0)],
)
async def test_a_relayed_call_has_the_time_of_its_origin(
    timeout_s, passed_on_s
):
    """Guards against calls at the leader that no origin waits for."""
    client = FakeClient()
    service, _ = _service(Source(client))
    await _relay(service, timeout_s=timeout_s)
    ((_, _, used_s),) = client.calls
    assert used_s == pytest.approx(passed_on_s)


async def test_a_relay_that_loses_the_leader_ends_its_calls():
    """Guards against origins that wait for a leader that the relay lost."""
    client = StuckClient()
    source = Source(client)
    service, _ = _service(source)
    answers = []

    async def relay() -> None:
        answers.append(await _relay(service))

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(relay)
            await client.called.wait()
            source.leader_connection.lost.set()
    assert answers == [RelayAnswer(RelayStatus.UNAVAILABLE)]

"""Tests of the command-line tool against a fake operator port.

They guard the exit statuses, and against changes that are applied twice or
that overwrite a concurrent change: retries keep their request id, and every
change states the entry version that it expects.
"""

import json

import anyio
import msgspec
import pytest

from siskinsail_cli import main
from siskinsail_net import HttpRequest
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import TcpNetwork
from siskinsail_types import Address

pytestmark = pytest.mark.anyio
OPERATOR_KEY = 'operator-secret'
DATA_CENTRE_ENTRY = {
    'kind': 'data_centre',
    'name': 'accra-tema',
    'owner': 'ops',
    'class': 'silver',
    'placement': 'in',
    'version': 3,
}


class FakeServer:
    """Operator port of an entry VM with a catalogue in memory.

    ``lost_answers`` is the number of apply requests that are carried out but
    not answered. ``refusals`` are the error codes of the next answers. With
    ``race``, another operator changes an entry after the catalogue was read.
    """

    def __init__(self) -> None:
        self.entries = {('data_centre', 'accra-tema'): DATA_CENTRE_ENTRY}
        self.answers: dict[str, HttpResponse] = {}
        self.bodies: list[dict] = []
        self.lost_answers = 0
        self.refusals: list[str] = []
        self.in_force = True
        self.race = False

    async def handle(self, request: HttpRequest) -> HttpResponse:
        if request.headers.get('authorization') != f'Bearer {OPERATOR_KEY}':
            return self._error(401, 'unauthorized')
        if self.refusals:
            return self._error(503, self.refusals.pop())
        if request.path == '/v1/catalogue/apply':
            return self._handle_apply(msgspec.json.decode(request.body))
        if request.path == '/v1/catalogue':
            response = HttpResponse.json(
                200, {'entries': list(self.entries.values())}
            )
            if self.race:
                key = ('data_centre', 'accra-tema')
                self.entries[key] = {**DATA_CENTRE_ENTRY, 'version': 4}
            return response
        responses = {
            '/v1/status': {
                'leader': 'e1',
                'leader_view_version': 5,
                'settled_view_version': 5 if self.in_force else 4,
                'daemons': [{'vm': 'e1', 'earlier_process_lease_s': 1.5}],
                'groups': [{'group': 'g', 'primary': 'db1', 'term': 2}],
                'accounts': [{'name': 'a', 'rate': 5.0, 'level': 2.5}],
            },
            '/explain': {
                'vm': 'e1',
                'data_centre': 'accra-tema',
                'lease': 'held',
                'obstacles': ['no_valid_key'],
                'candidates': [
                    {'order': 1, 'database': 'db1', 'wait_s': 0.125},
                    {'database': 'db2', 'obstacles': ['out_of_service']},
                ],
                'asked': request.query,
            },
            '/v1/timeline': {
                'events': [
                    {'wall_s': 2.0, 'vm': 'e1', 'event': 'b', 'request': 'r'},
                    {'wall_s': 1.0, 'vm': 'e2', 'event': 'a', 'request': 'r'},
                    {'wall_s': 3.0, 'vm': 'e2', 'event': 'c'},
                ]
            },
            '/v1/catalogue/history': {
                'changes': [
                    {
                        'version': 1,
                        'operator': 'o',
                        'puts': [DATA_CENTRE_ENTRY],
                    }
                ]
            },
        }
        return HttpResponse.json(200, responses[request.path])

    def _handle_apply(self, body: dict) -> HttpResponse:
        self.bodies.append(body)
        if body['request_id'] not in self.answers:
            self.answers[body['request_id']] = self._apply_changes(body)
        if self.lost_answers:
            self.lost_answers -= 1
            raise anyio.BrokenResourceError
        return self.answers[body['request_id']]

    def _apply_changes(self, body: dict) -> HttpResponse:
        for change in [*body['puts'], *body['deletes']]:
            old = self.entries.get(
                (change['kind'], change['name']), {'version': 0}
            )
            if old['version'] != change['version']:
                return self._error(409, 'version_conflict')
        for put in body['puts']:
            entry = {**put, 'version': put['version'] + 1}
            self.entries[put['kind'], put['name']] = entry
        for delete in body['deletes']:
            del self.entries[delete['kind'], delete['name']]
        return HttpResponse.json(
            200, {'catalogue_version': 9, 'in_force': self.in_force}
        )

    def _error(self, status: int, code: str) -> HttpResponse:
        return HttpResponse.json(
            status, {'error': {'code': code, 'message': 'text'}}
        )


def _bad_request(status: int, message: str) -> HttpResponse:
    return HttpResponse.json(status, {'error': {'message': message}})


@pytest.fixture
def server():
    return FakeServer()


@pytest.fixture
async def run(server, monkeypatch, capsys):
    """Function that runs the tool against the fake server."""
    http = HttpServer(TcpNetwork(), server.handle, _bad_request)
    async with anyio.create_task_group() as task_group:
        local = await task_group.start(http.serve, Address('127.0.0.1', 0))
        # The first address refuses connections, so the tool has to try the
        # second one.
        monkeypatch.setenv('SISKINSAIL_ADDRESSES', f'127.0.0.1:1,{local}')
        monkeypatch.setenv('SISKINSAIL_OPERATOR_KEY', OPERATOR_KEY)

        async def call(*arguments: str) -> tuple[int, str, str]:
            def run_main() -> int:
                with pytest.raises(SystemExit) as exit_info:
                    main(arguments)
                return int(exit_info.value.code or 0)

            status = await anyio.to_thread.run_sync(run_main)
            out, err = capsys.readouterr()
            assert OPERATOR_KEY not in out + err
            return status, out, err

        yield call
        task_group.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('arguments', 'status', 'text'),
    [
        (['status'], 0, 'leader'),
        (['status'], 0, 'lease of its earlier process ends in 1.5 s'),
        (['primaries'], 0, 'db1'),
        (['limits'], 0, '2.5'),
        (['backends', 'list'], 0, 'database'),
        (['catalogue', 'show', '--kind', 'data_centre'], 0, 'accra-tema'),
        (['catalogue', 'show', '--kind=key', '--output=json'], 0, '[]'),
        (['catalogue', 'history'], 0, 'data_centre/accra-tema'),
        (['catalogue', 'diff', '/no/such.json'], 2, '/no/such.json'),
        (['status', '--output=xml'], 2, 'table or json'),
        (['status', '--addresses=nowhere'], 2, 'SISKINSAIL_ADDRESSES'),
        (['keys', 'withdraw', 'abc'], 2, 'digest'),
        (['keys', 'withdraw', '0' * 64], 1, 'there is no key'),
        (['data-centre', 'out', 'x', '--wait-s=soon'], 2, '--wait-s'),
        (['data-centre', 'out', 'x', '--unknown=1'], 2, 'unknown'),
        (['timeline', '--since=noon'], 2, '--since'),
        (['explain', 'orders', '--account=a'], 0, 'e1 in accra-tema'),
        (['explain', 'orders', '--account=a'], 0, 'no_valid_key'),
        (['explain', 'orders', '--account=a'], 0, '0.125'),
        (['explain', 'orders', '--account=a'], 0, 'out_of_service'),
        (['explain', 'o/1&x', '--output=json'], 0, '"o/1&x"'),
        (['explain', 'orders', '--kind=write', '--output=json'], 0, '"write"'),
        (['explain', 'orders', '--data-centre=accra-tema'], 0, 'db1'),
        (['explain', 'orders', '--data-centre=tamale'], 3, 'tamale'),
        (['explain', 'orders', '--kind=other'], 2, '--kind'),
        (['explain'], 2, 'route'),
        (['status', '--addresses=127.0.0.1:1', '--timeout-s=0'], 3, ':1'),
    ],
)
async def test_exit_status_and_text(run, server, arguments, status, text):
    actual_status, out, err = await run(*arguments)
    assert (actual_status, text in out + err) == (status, True), out + err
    assert not server.bodies


async def test_wrong_operator_key_is_refused(run, monkeypatch):
    monkeypatch.setenv('SISKINSAIL_OPERATOR_KEY', 'other')
    status, _, err = await run('status')
    assert (status, 'unauthorized' in err) == (1, True)


@pytest.mark.parametrize('lost', [0, 1, 2])
async def test_lost_answer_is_repeated_with_the_same_id(run, server, lost):
    server.lost_answers = lost
    status, _, err = await run('data-centre', 'out', 'accra-tema')
    assert status == 0, err
    assert len(server.bodies) == lost + 1
    assert len({body['request_id'] for body in server.bodies}) == 1
    assert server.bodies[0]['puts'][0]['version'] == 3
    entry = server.entries['data_centre', 'accra-tema']
    assert (entry['placement'], entry['version']) == ('out', 4)


async def test_unknown_outcome_names_the_request_id(run, server):
    server.lost_answers = 99
    status, _, err = await run(
        'data-centre',
        'out',
        'accra-tema',
        '--timeout-s=0',
        '--wait-s=0',
        '--request-id=010',
    )
    assert status == 3
    assert '--request-id 010' in err
    assert {body['request_id'] for body in server.bodies} == {'010'}


@pytest.mark.parametrize(
    ('setting', 'value', 'status'),
    [
        ('race', True, 1),
        ('in_force', False, 4),
        ('refusals', ['no_leader', 'outcome_unknown'], 0),
    ],
)
async def test_conflict_delay_and_missing_leader(
    run, server, setting, value, status
):
    setattr(server, setting, value)
    actual_status, _, err = await run('data-centre', 'out', 'accra-tema')
    assert actual_status == status, err


@pytest.mark.parametrize('wait_s', ['0', '0.5'])
async def test_a_run_that_finds_no_change_waits(run, server, wait_s):
    """Guards against exit status 0 before the change is in force.

    A run may find that an earlier run has already made the change.
    """
    server.in_force = False
    arguments = ('data-centre', 'out', 'accra-tema', f'--wait-s={wait_s}')
    assert (await run(*arguments))[0] == 4
    status, out, err = await run(*arguments, '--output=json')
    assert (status, json.loads(out)['in_force']) == (4, False)
    assert 'not yet in force' in err
    server.in_force = True
    status, out, _ = await run(*arguments, '--output=json')
    assert (status, json.loads(out)['in_force']) == (0, True)
    assert len(server.bodies) == 1


async def test_apply_sends_only_differences(run, server, tmp_path):
    server.entries['account', 'old'] = {
        'kind': 'account',
        'name': 'old',
        'owner': 'ops',
        'rate': 1.0,
        'burst': 2.0,
        'version': 7,
    }
    (tmp_path / 'a.json').write_text(
        json.dumps([{**DATA_CENTRE_ENTRY, 'version': 0}])
    )
    (tmp_path / 'b.toml').write_text(
        '[[account]]\nname = "new"\nowner = "ops"\nrate = 5\nburst = 9\n'
    )
    arguments = ('catalogue', 'apply', str(tmp_path), '--delete-missing')
    status, _, err = await run(*arguments)
    assert status == 0, err
    (body,) = server.bodies
    assert [put['name'] for put in body['puts']] == ['new']
    assert body['deletes'] == [
        {'kind': 'account', 'name': 'old', 'version': 7}
    ]
    status, _, err = await run(*arguments)
    assert (status, len(server.bodies)) == (0, 1), err


async def test_every_mistake_of_all_files_is_reported(run, server, tmp_path):
    (tmp_path / 'a.json').write_text('[{"kind": "route", "name": "r"}]')
    (tmp_path / 'b.toml').write_text('[[nonsense]]\n')
    status, _, err = await run('catalogue', 'apply', str(tmp_path))
    assert status == 2
    assert 'a.json: route r' in err
    assert "'nonsense' is not a kind of entry" in err
    assert not server.bodies


async def test_key_is_shown_once_and_only_its_digest_is_sent(run, server):
    status, out, err = await run(
        'keys', 'give', '--account=a', '--owner=ops', '--output=json'
    )
    assert status == 0, err
    answer = json.loads(out)
    assert answer['key'] not in json.dumps(server.bodies)
    assert server.bodies[0]['puts'][0]['name'] == answer['digest']
    status, out, _ = await run('keys', 'withdraw', answer['digest'])
    assert status == 0
    assert server.entries['key', answer['digest']]['state'] == 'withdrawn'


async def test_timeline_merges_servers_and_files(run, tmp_path):
    log = tmp_path / 'e3.log'
    log.write_text('{"time": 1.5, "vm": "e3", "request": "r"}\n{"to')
    status, out, err = await run(
        'timeline', '--request=r', f'--logs={log}', '--output=json'
    )
    assert status == 0
    assert [event['vm'] for event in json.loads(out)['events']] == [
        'e2',
        'e3',
        'e1',
    ]
    assert '127.0.0.1:1' in err

"""Log rotation of real daemons, and ``siskinsail timeline`` on rotated files.

Fails if a rotated file exceeds its size, or if the timeline loses or reorders
events that are in rotated files.
"""

import json

import anyio
import pytest
from request_path import vm_names
from scenario import running
from tool import BIN
from tool import operator_environment

from siskinsail_net import HttpClientConnection
from siskinsail_net import TcpNetwork

pytestmark = [pytest.mark.anyio, pytest.mark.process]
MAX_BYTES = 20_000
FLAGS = (f'--log-max-bytes={MAX_BYTES}', '--log-files-kept=50')
# Each writes about 300 bytes to the log, so that files are rotated.
WRITES = 300


async def test_timeline_includes_rotated_log_files(tmp_path):
    async with running(tmp_path, daemon_flags=FLAGS) as scenario:
        fleet, vm = scenario.fleet, vm_names(scenario)[0]
        connection = await HttpClientConnection.connect(
            TcpNetwork(), fleet.address(vm, 'client'), 2.0
        )
        put = {'op': 'put', 'table': 'orders', 'key': 'o', 'value': 1}
        for number in range(WRITES):
            answer = await connection.request(
                'POST',
                f'/v1/routes/{scenario.service}-write/statements',
                body=json.dumps({'statements': [put]}).encode(),
                headers={
                    'authorization': (
                        f'Bearer {scenario.clients[0].key.reveal()}'
                    ),
                    'siskinsail-request-id': f'r{number}',
                },
                timeout_s=7.0,
            )
            assert answer.status == 200, answer.body
        await connection.aclose()

        (log,) = tmp_path.glob(f'**/{vm}.jsonl')
        rotated = sorted(log.parent.glob(f'{vm}.jsonl.*'))
        assert len(rotated) > 1
        assert all(one.stat().st_size <= MAX_BYTES for one in rotated)
        account = scenario.clients[0].account.name
        # Without addresses, the tool reads the log files only.
        environ = operator_environment(fleet)
        del environ['SISKINSAIL_ADDRESSES']
        done = await anyio.run_process(
            [
                str(BIN / 'siskinsail'),
                'timeline',
                f'--logs={log}',
                f'--account={account}',
                '--output=json',
            ],
            env=environ,
        )
        shown = json.loads(done.stdout)
        requests = [
            event['request']
            for event in shown['events']
            if event['message_type'] == 'siskinsail:write'
        ]
        assert requests == [f'r{number}' for number in range(WRITES)]

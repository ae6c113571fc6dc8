"""Runs the examples of the documentation pages against a real fleet.

Fails if a request, command or settings file of a page does not work or gives
another answer than the page shows.
"""

import json
import os
from pathlib import Path
import re
import signal
from typing import NamedTuple

import anyio
import pytest
from scenario import IN_FORCE_S
from scenario import READY_S
from scenario import running
from tool import BIN
from tool import operator_environment

from siskinsail_bench import Fleet
from siskinsail_bench import small
from siskinsail_catalogue import key_digest
from siskinsail_net import fetch_json
from siskinsail_net import HttpClientConnection
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError

pytestmark = [pytest.mark.anyio, pytest.mark.process]
ROOT = Path(__file__).parents[1]
OPERATORS = ROOT / 'docs' / 'operators.md'
BLOCK = re.compile(r'^```(\w+) ?(\S*)\n(.*?)^```$', re.DOTALL | re.MULTILINE)
SHELL_TIMEOUT_S = 60
STOP_TIMEOUT_S = 45


class Block(NamedTuple):
    language: str
    file: str
    text: str


def blocks(page: Path, *languages: str) -> list[Block]:
    found = [Block(*match) for match in BLOCK.findall(page.read_text())]
    return [one for one in found if one.language in languages]


def matches(seen: object, wanted: object) -> bool:
    """Return whether JSON is as on a page, where ``…`` stands for any text."""
    if isinstance(wanted, dict) and isinstance(seen, dict):
        return wanted.keys() == seen.keys() and all(
            # Terms and indices depend on the history of the fleet.
            set(seen[name]) == {'term', 'index'}
            if name == 'position'
            else matches(seen[name], value)
            for name, value in wanted.items()
        )
    if isinstance(wanted, list) and isinstance(seen, list):
        return len(wanted) == len(seen) and all(map(matches, seen, wanted))
    return seen == wanted or (wanted == '…' and isinstance(seen, str))


async def check_exchange(
    connection: HttpClientConnection,
    request: str,
    wanted: str,
    placeholders: dict[str, str],
) -> None:
    """Send a request of a page and compare the answer with the page.

    Parameters
    ----------
    placeholders : dict
        Values for names that the page writes as ``$NAME``. The session and
        the transaction of the answer are stored in it for later requests.
    """
    for name, word in placeholders.items():
        request = request.replace(f'${name}', word)
    head, _, body = request.partition('\n\n')
    method, path, _ = head.splitlines()[0].split()
    headers = dict(line.split(': ', 1) for line in head.splitlines()[1:])
    answer = await connection.request(
        method,
        path,
        body=body.strip().encode(),
        headers={name.lower(): value for name, value in headers.items()},
        timeout_s=7.0,
    )
    head, _, body = wanted.partition('\n\n')
    assert str(answer.status) == head.split()[1], (request, answer.body)
    for line in head.splitlines()[1:]:
        assert line.split(':')[0].lower() in answer.headers, request
    seen = json.loads(answer.body)
    assert matches(seen, json.loads(body)), (request, seen)
    placeholders['SESSION'] = answer.headers.get('siskinsail-session', '')
    placeholders['TRANSACTION'] = (
        seen.get('transaction') or placeholders['TRANSACTION']
    )


async def check_exchanges(
    address: Address, page: Path, placeholders: dict[str, str]
) -> None:
    texts = [one.text for one in blocks(page, 'http')]
    assert texts
    connection = await HttpClientConnection.connect(TcpNetwork(), address, 2.0)
    try:
        for request, wanted in zip(texts[::2], texts[1::2], strict=True):
            await check_exchange(connection, request, wanted, placeholders)
    finally:
        await connection.aclose()


async def test_callers_page(tmp_path):
    async with running(tmp_path) as scenario:
        vm = scenario.fleet.deployment.vms[0].name
        key = scenario.clients[0].key.reveal()
        await check_exchanges(
            scenario.fleet.address(vm, 'client'),
            ROOT / 'docs' / 'callers.md',
            {'KEY': key, 'SESSION': '', 'TRANSACTION': ''},
        )


async def run_sh(text: str, folder: Path, env: dict[str, str]) -> None:
    with anyio.fail_after(SHELL_TIMEOUT_S):
        done = await anyio.run_process(
            ['bash', '-euo', 'pipefail', '-c', text],
            cwd=folder,
            env=env,
            check=False,
        )
    assert done.returncode == 0, (text, done.stdout, done.stderr)


async def test_operators_page(tmp_path):
    folder = tmp_path / 'operator'
    folder.mkdir()
    async with Fleet(small(), tmp_path, with_delays=False) as fleet:
        await fleet.wait_ready(READY_S)
        last = fleet.deployment.vms[-1].name
        pid = fleet.processes[last].pid
        env = operator_environment(fleet) | {'SISKINSAILD_PID': str(pid)}
        operator = fleet.address(fleet.deployment.vms[0].name, 'operator')
        await check_exchanges(operator, OPERATORS, {'TRANSACTION': ''})
        await check_metrics(operator)
        for block in blocks(OPERATORS, 'sh', 'toml'):
            if block.language == 'sh':
                await run_sh(block.text, folder, env)
            else:
                (folder / block.file).parent.mkdir(exist_ok=True)
                (folder / block.file).write_text(block.text)
        # The last example of the page stops this daemon gracefully.
        assert await fleet.wait_exited(last, STOP_TIMEOUT_S) == 0


async def check_metrics(operator: Address) -> None:
    """Check that the page lists exactly the exported metrics."""
    connection = await HttpClientConnection.connect(
        TcpNetwork(), operator, 2.0
    )
    answer = await connection.request('GET', '/metrics', timeout_s=2.0)
    await connection.aclose()
    exported = set(re.findall(r'# HELP (siskinsail_\w+)', str(answer.body)))
    listed = re.findall(
        r'^\| `(siskinsail_\w+)` \|', OPERATORS.read_text(), re.MULTILINE
    )
    assert set(listed) == {
        name for name in exported if not name.endswith('_created')
    }


async def test_a_fleet_starts_with_the_settings_of_the_page(tmp_path):
    (block,) = blocks(OPERATORS, 'ini')
    page = dict(line.split('=', 1) for line in block.text.splitlines())
    # This fleet is used only for its free addresses; its own processes are not
    # started.
    plan = Fleet(small(), tmp_path)
    vms = plan.deployment.vms
    key = Secret('operator-key-of-this-test')
    members = ','.join(
        f'{vm.name}={plan.address(vm.name, "peer")}' for vm in vms
    )
    processes = []
    try:
        for vm in vms:
            vm_settings = {
                f'SISKINSAIL_{port.upper()}_ADDRESS': str(
                    plan.address(vm.name, port)
                )
                for port in ('client', 'peer', 'operator')
            } | {
                'SISKINSAIL_VM': vm.name,
                'SISKINSAIL_DATA_CENTRE': vm.data_centre.name,
                'SISKINSAIL_REGION': vm.data_centre.region,
                'SISKINSAIL_CONTROL_MEMBERS': members,
                'SISKINSAIL_DATA_FOLDER': str(tmp_path / vm.name),
                'SISKINSAIL_LOG_FILE': str(tmp_path / f'{vm.name}.jsonl'),
                'SISKINSAIL_FLEET_SECRET': 'fleet-secret-of-this-test',
                'SISKINSAIL_OPERATOR_KEY_DIGEST': key_digest(key),
            }
            assert vm_settings.keys() == page.keys()
            processes.append(
                await anyio.open_process(
                    [str(BIN / 'siskinsaild')],
                    env=os.environ | vm_settings,
                    stdout=None,
                    stderr=None,
                )
            )
        with anyio.fail_after(READY_S + IN_FORCE_S):
            for vm in vms:
                await wait_until_ready(plan.address(vm.name, 'operator'))
    finally:
        for process in processes:
            process.send_signal(signal.SIGKILL)
            await process.wait()


async def wait_until_ready(operator: Address) -> None:
    while True:
        try:
            status, _ = await fetch_json(
                TcpNetwork(), operator, 'GET', '/readyz', timeout_s=1.0
            )
        except SiskinsailError:
            status = 0
        if status == 200:
            return
        await anyio.sleep(0.05)


def test_libraries_page_lists_every_pinned_library():
    pinned = (ROOT / 'constraints.txt').read_text().split()
    text = (ROOT / 'docs' / 'libraries.md').read_text()
    found = re.findall(r'`([\w.-]+)` (?:\| )?([\d.]+)', text)
    assert sorted('=='.join(one) for one in found) == sorted(pinned)


def test_links_of_pages_lead_to_files():
    for page in (ROOT / 'README.md', *(ROOT / 'docs').glob('*.md')):
        for link in re.findall(r'\]\((?!http)([^)#]+)', page.read_text()):
            assert (page.parent / link).exists(), (page.name, link)

"""Runs the command-line tool as a process against a fleet."""

import json
import os
from pathlib import Path
import sys
from typing import Any

import anyio

from siskinsail_bench import Fleet

BIN = Path(sys.executable).parent
COMMAND_TIMEOUT_S = 60


def operator_environment(fleet: Fleet) -> dict[str, str]:
    """Return the environment variables of an operator's shell."""
    operators = [
        str(fleet.address(vm.name, 'operator')) for vm in fleet.deployment.vms
    ]
    return os.environ | {
        'PATH': f'{BIN}{os.pathsep}{os.environ["PATH"]}',
        'SISKINSAIL_ADDRESSES': ','.join(operators),
        'SISKINSAIL_OPERATOR_KEY': fleet.operator_key.reveal(),
        'USER': 'efua',
    }


async def run_tool(fleet: Fleet, *arguments: str) -> tuple[int, Any]:
    """Return the exit status and the JSON output of a command.

    If the exit status is neither 0 nor 4, the text of its standard error is
    returned instead of the output.
    """
    with anyio.fail_after(COMMAND_TIMEOUT_S):
        done = await anyio.run_process(
            [str(BIN / 'siskinsail'), *arguments, '--output', 'json'],
            env=operator_environment(fleet),
            check=False,
        )
    if done.returncode not in (0, 4):
        return done.returncode, done.stderr.decode()
    return done.returncode, json.loads(done.stdout)

"""Entry point of the siskinsail command-line tool."""

from collections.abc import Mapping
from collections.abc import Sequence
import os
import sys
from typing import Any

import anyio
import fire
from fire import parser
import msgspec

from siskinsail_net import TcpNetwork
from siskinsail_settings import load_settings
from siskinsail_types import SettingsError
from siskinsail_types import SystemClock

from . import _change_commands as changes
from . import _read_commands as reads
from ._client import ClientSettings
from ._client import OperatorClient
from ._explain_command import explain
from ._invocation import change_command
from ._invocation import Context
from ._invocation import Invocation
from ._invocation import parse_change_options
from ._invocation import read_command
from ._invocation import run_invocation
from ._invocation import shared_flags
from ._outcome import CommandError
from ._outcome import ExitStatus
from ._outcome import format_table
from ._outcome import Output

_COMMANDS: dict[str, Any] = {
    'status': read_command(reads.status),
    'catalogue': {
        'show': read_command(reads.show),
        'diff': read_command(reads.diff),
        'apply': change_command(changes.apply),
        'history': read_command(reads.history),
    },
    'keys': {
        'give': change_command(changes.give_key),
        'withdraw': change_command(changes.withdraw_key),
    },
    'data-centre': {
        'out': change_command(changes.data_centre_out),
        'in': change_command(changes.data_centre_in),
    },
    'backends': {
        'list': read_command(reads.list_backends),
        'out': change_command(changes.backend_out),
        'in': change_command(changes.backend_in),
    },
    'primaries': read_command(reads.primaries),
    'limits': read_command(reads.limits),
    'timeline': read_command(reads.timeline),
    'explain': read_command(explain),
}


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the tool and exit.

    The exit status is 0 if the command succeeded, 1 if it was refused, 2 for
    wrong usage, 3 if no entry VM was reachable or the outcome is unknown, and
    4 if the change was accepted but is not yet in force everywhere.
    """
    all_arguments = sys.argv[1:] if arguments is None else arguments
    invocation = fire.Fire(
        _COMMANDS,
        command=[_quote_for_fire(argument) for argument in all_arguments],
        name='siskinsail',
        serialize=lambda value: (
            None if isinstance(value, Invocation) else value
        ),
    )
    if not isinstance(invocation, Invocation):
        raise SystemExit(ExitStatus.WRONG_USAGE)
    raise SystemExit(_run(invocation, os.environ))


def _quote_for_fire(argument: str) -> str:
    """Quote an argument that fire would convert to another type."""
    flag, equals, value = argument.rpartition('=')
    if argument.startswith('--') and not equals:
        return argument
    if not argument.startswith('--'):
        flag, equals, value = '', '', argument
    if parser.DefaultParseValue(value) == value:
        return argument
    return f'{flag}{equals}{value!r}'


def _run(invocation: Invocation, environ: Mapping[str, str]) -> ExitStatus:
    shared = shared_flags(invocation)
    try:
        if shared['output'] not in ('table', 'json'):
            raise CommandError(
                ExitStatus.WRONG_USAGE, '--output must be table or json'
            )
        context = _create_context(shared, environ)
        output = anyio.run(run_invocation, invocation, context)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitStatus.WRONG_USAGE
    except CommandError as error:
        print(error.message, file=sys.stderr)
        return error.status
    _print_output(output, shared['output'])
    return output.status


def _create_context(
    shared: dict[str, str], environ: Mapping[str, str]
) -> Context:
    setting_flags: dict[str, object] = {'timeout_s': shared['timeout_s']}
    if shared['addresses']:
        setting_flags['addresses'] = shared['addresses']
    settings = load_settings(ClientSettings, setting_flags, environ)
    options = parse_change_options(shared, environ.get('USER', ''))
    return Context(
        OperatorClient(settings, TcpNetwork(), SystemClock()), options
    )


def _print_output(output: Output, output_format: str) -> None:
    if output_format == 'json':
        text = msgspec.json.format(msgspec.json.encode(output.value))
        print(text.decode())
    else:
        print('\n\n'.join(format_table(table) for table in output.tables))
    for note in output.notes:
        print(note, file=sys.stderr)

"""Deferred invocation of commands, and the flags that commands share.

fire calls a function before it has checked the remaining arguments. The
function that fire calls therefore only returns an invocation, which is run
after fire has accepted all arguments.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import inspect
import secrets
from typing import Any

from ._apply import ChangeOptions
from ._client import OperatorClient
from ._outcome import CommandError
from ._outcome import ExitStatus
from ._outcome import Output

_MAX_WAIT_S = 60.0

_SHARED_FLAGS = {
    'addresses': (
        '',
        'Operator ports of entry VMs as host:port,host:port, tried in turn. '
        'Environment variable SISKINSAIL_ADDRESSES.',
    ),
    'output': ('table', 'Output format, table or json.'),
    'timeout_s': (
        '15',
        'Time for which a request without an answer is retried, in seconds.',
    ),
}
_CHANGE_FLAGS = {
    'request_id': (
        '',
        'Id of the change; generated if not given. If the outcome is unknown, '
        'repeat the command with the same id.',
    ),
    'operator': (
        '',
        'Operator name to record in the history. Environment variable USER.',
    ),
    'wait_s': (
        '10',
        'Longest time to wait until the change is in force everywhere, in '
        'seconds, at most 60.',
    ),
}


@dataclass(frozen=True)
class Context:
    """Client and options with which a command runs."""

    client: OperatorClient
    options: ChangeOptions


CommandFunction = Callable[..., Awaitable[Output]]


class Invocation:
    """A command with its arguments."""

    # fire offers public attributes as commands, so all attributes are private.

    def __init__(
        self,
        function: CommandFunction,
        arguments: tuple[Any, ...],
        flags: dict[str, Any],
        shared: dict[str, str],
    ) -> None:
        self._function = function
        self._arguments = arguments
        self._flags = flags
        self._shared = shared


def shared_flags(invocation: Invocation) -> dict[str, str]:
    """Return the values of the flags that commands share."""
    return invocation._shared


async def run_invocation(invocation: Invocation, context: Context) -> Output:
    """Run the command of an invocation."""
    return await invocation._function(
        context, *invocation._arguments, **invocation._flags
    )


def read_command(function: CommandFunction) -> Callable[..., Invocation]:
    """Return the function that fire calls for a read-only command."""
    return _deferred_command(function, _SHARED_FLAGS)


def change_command(function: CommandFunction) -> Callable[..., Invocation]:
    """Return the function that fire calls for a catalogue change."""
    return _deferred_command(function, {**_CHANGE_FLAGS, **_SHARED_FLAGS})


def parse_change_options(shared: dict[str, str], user: str) -> ChangeOptions:
    """Parse the flags that change commands share.

    Parameters
    ----------
    shared : dict of str to str
        Values of the shared flags; those of a read-only command contain no
        flags of changes, so the defaults apply.
    user : str
        Operator name to use if the flag is empty.
    """
    wait_s = parse_number('--wait-s', shared.get('wait_s', '0'))
    if not 0 <= wait_s <= _MAX_WAIT_S:
        raise CommandError(
            ExitStatus.WRONG_USAGE, '--wait-s must be from 0 to 60 seconds'
        )
    return ChangeOptions(
        operator=shared.get('operator') or user or 'operator',
        request_id=shared.get('request_id') or secrets.token_hex(8),
        wait_s=wait_s,
    )


def parse_number(flag: str, value: object) -> float:
    """Parse the value of a flag as a number."""
    try:
        return float(str(value))
    except ValueError:
        raise CommandError(
            ExitStatus.WRONG_USAGE, f'{flag}: {value!r} is not a number'
        ) from None


def parse_bool(flag: str, value: object) -> bool:
    """Parse the value of a flag as a boolean."""
    text = str(value).lower()
    if text not in ('true', 'false'):
        raise CommandError(
            ExitStatus.WRONG_USAGE,
            f'{flag} must be true or false, not {value!r}',
        )
    return text == 'true'


def _deferred_command(
    function: CommandFunction, shared: dict[str, tuple[str, str]]
) -> Callable[..., Invocation]:
    def defer(*arguments: Any, **flags: Any) -> Invocation:
        values = {
            name: str(flags.pop(name, default))
            for name, (default, _) in shared.items()
        }
        return Invocation(function, arguments, flags, values)

    parameters = list(inspect.signature(function).parameters.values())[1:]
    parameters += [
        inspect.Parameter(
            name, inspect.Parameter.KEYWORD_ONLY, default=default
        )
        for name, (default, _) in shared.items()
    ]
    text = inspect.getdoc(function) or ''
    if 'Parameters\n---' not in text:
        text += '\n\nParameters\n----------'
    for name, (_, description) in shared.items():
        text += f'\n{name} : str\n    {description}'
    defer.__name__ = function.__name__
    defer.__doc__ = text
    defer.__signature__ = inspect.Signature(  # type: ignore[attr-defined]
        [
            parameter.replace(annotation=parameter.empty)
            for parameter in parameters
        ]
    )
    return defer

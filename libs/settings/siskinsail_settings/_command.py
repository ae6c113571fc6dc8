"""Command-line programs whose flags are the fields of a settings type."""

from collections.abc import Callable
import inspect
import os
from pathlib import Path
import sys
from typing import Any
from typing import TypeVar

from fire import decorators
from fire import helptext
from fire import trace

from siskinsail_types import SettingsError

from ._field import SettingField
from ._field import settings_fields
from ._load import load_settings

EXIT_USAGE_ERROR = 2
_HELP_FLAGS = frozenset({'help', 'h'})
_SettingsT = TypeVar('_SettingsT')


def make_command(
    settings_type: type[_SettingsT],
    function: Callable[[_SettingsT], int | None],
) -> Callable[..., None]:
    """Return a callable for ``fire.Fire`` that runs ``function``.

    The signature and the docstring of the callable are generated from the
    fields, so ``--help`` lists every setting. If settings are invalid, the
    callable prints all errors and exits with status 2. A status that
    ``function`` returns becomes the exit status.

    Parameters
    ----------
    settings_type : type
        A frozen dataclass or pydantic model.
    function : callable
        Called with the settings object; returns an exit status or None.
    """
    fields = settings_fields(settings_type)

    # Accepts any arguments so that invalid ones are reported before
    # ``function`` runs; fire would report them only afterwards.
    def run(*arguments: str, **flags: object) -> None:
        # fire passes --help to a function that accepts any flag.
        if _HELP_FLAGS & flags.keys():
            print(_format_help(help_stub))
            raise SystemExit(0)
        try:
            if arguments:
                raise SettingsError(
                    tuple(
                        f'{argument}: unexpected argument'
                        for argument in arguments
                    )
                )
            settings = load_settings(settings_type, flags, os.environ)
        except SettingsError as error:
            print(error, file=sys.stderr)
            raise SystemExit(EXIT_USAGE_ERROR) from None
        status = function(settings)
        if status:
            raise SystemExit(status)

    # The help is generated from a second function: the fire decorator sets
    # an attribute on the first one, which fire would list as a command group.
    def help_stub() -> None:
        pass

    for target in (run, help_stub):
        target.__name__ = function.__name__
        target.__doc__ = _docstring(function, fields)
        target.__signature__ = _signature(fields)  # type: ignore[attr-defined]
    # Keeps values as text; fire would parse 010 or 1_0 as a number.
    result: Callable[..., None] = decorators.SetParseFn(str)(run)
    return result


def _signature(fields: tuple[SettingField, ...]) -> inspect.Signature:
    parameters = [
        inspect.Parameter('arguments', inspect.Parameter.VAR_POSITIONAL)
    ]
    parameters += [
        inspect.Parameter(
            field.name,
            inspect.Parameter.KEYWORD_ONLY,
            # Without a default, fire would fail at the first missing flag,
            # although an environment variable may set the value.
            default=field.default_text,
        )
        for field in fields
    ]
    parameters.append(
        inspect.Parameter('unknown', inspect.Parameter.VAR_KEYWORD)
    )
    return inspect.Signature(parameters)


def _format_help(help_stub: Callable[..., None]) -> str:
    name = Path(sys.argv[0]).name
    text = helptext.HelpText(help_stub, trace.FireTrace(help_stub, name))
    return str(text)


def _docstring(
    function: Callable[..., Any], fields: tuple[SettingField, ...]
) -> str:
    summary = inspect.getdoc(function) or function.__name__
    lines = [
        summary,
        '',
        'Args:',
        '    arguments: Positional arguments are not accepted.',
    ]
    for field in fields:
        parts = [
            field.description.rstrip('.'),
            field.allowed.capitalize(),
            f'Environment variable {field.variable}',
        ]
        text = '. '.join(part for part in parts if part)
        lines.append(f'    {field.name}: {text}.')
    lines.append('    unknown: Unknown flags are rejected.')
    return '\n'.join(lines)

"""Loading of settings from flags, environment variables and defaults."""

from collections.abc import Mapping
import difflib
from typing import Any
from typing import cast
from typing import TypeVar

import pydantic

from siskinsail_types import SettingsError

from ._field import _direct_fields
from ._field import is_settings_type
from ._field import SettingField
from ._field import settings_fields
from ._parse import base_type
from ._parse import parse_value

_SettingsT = TypeVar('_SettingsT')
_ValuesByPath = dict[tuple[str, ...], Any]


def load_settings(
    settings_type: type[_SettingsT],
    flags: dict[str, object],
    environ: Mapping[str, str],
) -> _SettingsT:
    """Create a settings object from flags, environment and defaults.

    A flag takes precedence over an environment variable, and an environment
    variable over the default.

    Parameters
    ----------
    settings_type : type
        A frozen dataclass or pydantic model. A field whose type is itself a
        settings type contributes the fields of that type, without a prefix.
    flags : dict of str to object
        Flags by name, written with hyphens or underscores.
    environ : mapping of str to str
        Environment variables.

    Raises
    ------
    SettingsError
        If settings are invalid; contains one message for each of them.

    Examples
    --------
    >>> from dataclasses import dataclass
    >>> @dataclass(frozen=True)
    ... class LeaseSettings:
    ...     lease_s: float = 2.5
    >>> load_settings(LeaseSettings, {'lease-s': '3'}, {})
    LeaseSettings(lease_s=3.0)
    """
    fields = settings_fields(settings_type)
    flags_by_name = {
        name.lstrip('-').replace('-', '_'): value
        for name, value in flags.items()
    }
    mistakes = _unknown_flag_errors(fields, flags_by_name)
    values: _ValuesByPath = {}
    for field in fields:
        try:
            values[(*field.path, field.name)] = _resolve_value(
                field, flags_by_name, environ
            )
        except SettingsError as error:
            mistakes += error.mistakes
    if mistakes:
        raise SettingsError(tuple(mistakes))
    return cast(_SettingsT, _construct(settings_type, values, ()))


def _unknown_flag_errors(
    fields: tuple[SettingField, ...], flags: dict[str, object]
) -> list[str]:
    known = [field.name for field in fields]
    mistakes = []
    for name in flags:
        if name in known:
            continue
        # The value is not displayed, since it may be the secret of a
        # misspelt flag.
        message = f'--{name.replace("_", "-")}: unknown flag'
        closest = difflib.get_close_matches(name, known, n=1, cutoff=0.0)
        if closest:
            message += f'; closest match: --{closest[0].replace("_", "-")}'
        mistakes.append(message)
    return mistakes


def _resolve_value(
    field: SettingField, flags: dict[str, object], environ: Mapping[str, str]
) -> Any:
    if field.name in flags:
        raw_value, source = flags[field.name], 'flag'
    elif field.variable in environ:
        raw_value, source = environ[field.variable], 'environment'
    elif field.is_required:
        raise _invalid_setting(field, 'required, but not set')
    else:
        return field.default
    try:
        return parse_value(field.annotation, raw_value)
    except ValueError:
        # The cause is suppressed, since its text may contain a secret.
        displayed_value = '***' if field.is_secret else repr(str(raw_value))
        raise _invalid_setting(
            field, f'{displayed_value} (from {source})'
        ) from None


def _invalid_setting(field: SettingField, reason: str) -> SettingsError:
    return SettingsError(
        (
            f'{field.flag} / {field.variable}: {reason}; '
            f'allowed: {field.allowed}',
        )
    )


def _construct(
    settings_type: type, values: _ValuesByPath, path: tuple[str, ...]
) -> Any:
    arguments: dict[str, Any] = {}
    for field in _direct_fields(settings_type):
        field_type = base_type(field.annotation)
        field_path = (*path, field.name)
        arguments[field.name] = (
            _construct(field_type, values, field_path)
            if is_settings_type(field_type)
            else values[field_path]
        )
    try:
        return settings_type(**arguments)
    except pydantic.ValidationError as error:
        # Only the messages are used; the inputs may contain secrets.
        details = error.errors(include_input=False, include_context=False)
        raise SettingsError(
            tuple(str(detail['msg']) for detail in details)
        ) from None
    except ValueError as error:
        raise SettingsError((str(error),)) from error

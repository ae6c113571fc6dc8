"""Fields of settings types and their flags and environment variables."""

from collections.abc import Iterator
import dataclasses
from dataclasses import dataclass
import inspect
import re
from typing import Annotated
from typing import Any
from typing import cast
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import pydantic
from pydantic.fields import FieldInfo

from siskinsail_types import Secret

from ._parse import allowed_values
from ._parse import base_type
from ._parse import format_value
from ._parse import is_optional

ENVIRONMENT_PREFIX = 'SISKINSAIL_'
_UNITS_BY_SUFFIX = {
    's': 'seconds',
    'ms': 'milliseconds',
    'bytes': 'bytes',
}


class _Required:
    """Sentinel type of settings without a default."""


REQUIRED = _Required()


@dataclass(frozen=True)
class SettingField:
    """Description of one setting.

    Parameters
    ----------
    name : str
        Name of the field, such as ``lease_s``.
    annotation : type
        Declared type, including constraints.
    default : object
        Default value, or ``REQUIRED``.
    description : str
        Description shown by ``--help`` and in the documentation.
    path : tuple of str
        Names of the enclosing settings objects, outermost first.
    """

    name: str
    annotation: Any
    default: Any
    description: str
    path: tuple[str, ...] = ()

    @property
    def flag(self) -> str:
        """The command-line flag, such as ``--lease-s``."""
        return '--' + self.name.replace('_', '-')

    @property
    def variable(self) -> str:
        """The environment variable, such as ``SISKINSAIL_LEASE_S``."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def is_secret(self) -> bool:
        """Whether the value must not be displayed."""
        return base_type(self.annotation) is Secret

    @property
    def is_required(self) -> bool:
        """Whether the setting has no default."""
        return self.default is REQUIRED

    @property
    def unit(self) -> str:
        """The unit given by the suffix of the name, empty if there is none."""
        return _UNITS_BY_SUFFIX.get(self.name.rpartition('_')[2], '')

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        description = allowed_values(self.annotation)
        if self.unit:
            description += f', in {self.unit}'
        return (
            description + ' or empty'
            if is_optional(self.annotation)
            else description
        )

    @property
    def default_text(self) -> str:
        """The default in command-line syntax; secrets are masked."""
        if self.is_required:
            return 'required'
        return format_value(self.default) or 'empty'


def is_settings_type(candidate: object) -> bool:
    """Return whether the type is a dataclass or a pydantic model."""
    return isinstance(candidate, type) and (
        issubclass(candidate, pydantic.BaseModel)
        or dataclasses.is_dataclass(candidate)
    )


def settings_fields(settings_type: type) -> tuple[SettingField, ...]:
    """Return the settings of a type, including those of nested types.

    Raises
    ------
    TypeError
        If two fields have the same name, which would be the same flag.
    """
    fields = tuple(_iterate_fields(settings_type, ()))
    names = [field.name for field in fields]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise TypeError(f'duplicate setting names: {", ".join(duplicates)}')
    return fields


def _iterate_fields(
    settings_type: type, path: tuple[str, ...]
) -> Iterator[Any]:
    descriptions = _parameter_descriptions(inspect.getdoc(settings_type) or '')
    for field in _direct_fields(settings_type):
        if is_settings_type(base_type(field.annotation)):
            yield from _iterate_fields(
                base_type(field.annotation), (*path, field.name)
            )
        else:
            yield dataclasses.replace(
                field,
                path=path,
                description=field.description
                or descriptions.get(field.name, ''),
            )


def _direct_fields(settings_type: type) -> list[SettingField]:
    if issubclass(settings_type, pydantic.BaseModel):
        return [
            _model_field(name, info)
            for name, info in settings_type.model_fields.items()
        ]
    hints = get_type_hints(settings_type, include_extras=True)
    return [
        _dataclass_field(field, hints[field.name])
        for field in dataclasses.fields(cast(Any, settings_type))
        if field.init
    ]


def _model_field(name: str, info: FieldInfo) -> SettingField:
    annotation: Any = info.annotation
    if info.metadata:
        annotation = Annotated[(annotation, *info.metadata)]
    default = (
        REQUIRED
        if info.is_required()
        else info.get_default(call_default_factory=True, validated_data={})
    )
    return SettingField(name, annotation, default, info.description or '')


def _dataclass_field(
    field: 'dataclasses.Field[Any]', annotation: Any
) -> SettingField:
    default: Any = REQUIRED
    if field.default is not dataclasses.MISSING:
        default = field.default
    elif field.default_factory is not dataclasses.MISSING:
        default = field.default_factory()
    description = ''
    if get_origin(annotation) is Annotated:
        for item in get_args(annotation)[1:]:
            description = getattr(item, 'description', None) or description
    return SettingField(field.name, annotation, default, description)


def _parameter_descriptions(docstring: str) -> dict[str, str]:
    """Parse the Parameters section of a docstring into descriptions."""
    _, _, section = docstring.partition('Parameters\n----------\n')
    descriptions: dict[str, list[str]] = {}
    name = ''
    for line in section.splitlines():
        if re.match(r'-{3,}$', line):
            break
        heading = re.match(r'(\w+) : ', line)
        if heading:
            name = heading[1]
            descriptions[name] = []
        elif name and line.startswith(' '):
            descriptions[name].append(line.strip())
    return {item: ' '.join(lines) for item, lines in descriptions.items()}

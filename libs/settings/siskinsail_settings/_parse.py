"""Parsing, validation and formatting of settings values."""

from collections.abc import Callable
from enum import Enum
import math
from pathlib import Path
from types import NoneType
from types import UnionType
from typing import Annotated
from typing import Any
from typing import get_args
from typing import get_origin
from typing import NamedTuple
from typing import Union

import msgspec
import pydantic

from siskinsail_types import Address
from siskinsail_types import ProtocolError
from siskinsail_types import Secret

_TRUE_TEXTS = frozenset({'true', 'yes', 'on', '1'})
_FALSE_TEXTS = frozenset({'false', 'no', 'off', '0'})
_BOUND_DESCRIPTIONS = {
    'gt': 'greater than',
    'ge': 'at least',
    'lt': 'less than',
    'le': 'at most',
    'min_length': 'length at least',
    'max_length': 'length at most',
}


class NamedAddress(NamedTuple):
    """A process name and its address, written as ``name=host:port``."""

    name: str
    address: Address

    def __str__(self) -> str:
        return f'{self.name}={self.address}'

    @classmethod
    def parse(cls, text: str) -> 'NamedAddress':
        """Parse ``name=host:port``.

        Raises
        ------
        ValueError
            If the name is missing or the address is invalid.
        """
        name, _, address = text.partition('=')
        if not name:
            raise ValueError(f'missing member name: {text!r}')
        return cls(name, _parse_address(address))


def base_type(annotation: Any) -> Any:
    """Return the type without ``Annotated``, ``NewType`` and ``| None``."""
    while True:
        if get_origin(annotation) is Annotated:
            annotation = get_args(annotation)[0]
        elif hasattr(annotation, '__supertype__'):
            annotation = annotation.__supertype__
        elif is_optional(annotation):
            annotation = next(
                part for part in get_args(annotation) if part is not NoneType
            )
        else:
            return annotation


def is_optional(annotation: Any) -> bool:
    """Return whether the setting may be ``None``."""
    if get_origin(annotation) is Annotated:
        annotation = get_args(annotation)[0]
    is_union = get_origin(annotation) in (Union, UnionType)
    return is_union and NoneType in get_args(annotation)


def element_type_of(annotation: Any) -> Any | None:
    """Return the element type of a tuple type, None for other types."""
    base = base_type(annotation)
    return get_args(base)[0] if get_origin(base) is tuple else None


def parse_value(annotation: Any, value: object) -> Any:
    """Parse and validate the value of a setting.

    Parameters
    ----------
    annotation : type
        Declared type of the field, including constraints.
    value : object
        Text, or a value already converted by the command line.

    Raises
    ------
    ValueError
        If the value is not allowed.
    """
    base = base_type(annotation)
    if isinstance(value, Secret) and base is Secret:
        return value
    text = str(value).strip()
    if not text and is_optional(annotation):
        return None
    element_type = element_type_of(annotation)
    if element_type is not None:
        parts = [part.strip() for part in text.split(',')] if text else []
        parsed: Any = tuple(parse_value(element_type, part) for part in parts)
    else:
        parsed = _parser_for(base)(text)
    return _check_bounds(annotation, parsed)


def allowed_values(annotation: Any) -> str:
    """Return a description of the values that a setting accepts."""
    element_type = element_type_of(annotation)
    base = base_type(annotation)
    if element_type is not None:
        text = f'comma-separated list of {allowed_values(element_type)}'
    elif isinstance(base, type) and issubclass(base, Enum):
        text = 'one of ' + ', '.join(str(item.value) for item in base)
    else:
        text = _TYPE_DESCRIPTIONS.get(
            base, getattr(base, '__name__', str(base))
        )
    return ', '.join([text, *_describe_bounds(annotation)])


def format_value(value: object) -> str:
    """Return the text that ``parse_value`` parses to the value."""
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, Enum):
        return str(value.value)
    if type(value) is tuple:
        return ','.join(format_value(item) for item in value)
    return str(value)


def _parse_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError('the number is not finite')
    return value


def _parse_bool(text: str) -> bool:
    lowercase = text.lower()
    if lowercase not in _TRUE_TEXTS | _FALSE_TEXTS:
        raise ValueError('neither true nor false')
    return lowercase in _TRUE_TEXTS


def _parse_address(text: str) -> Address:
    try:
        return Address.parse(text)
    except ProtocolError as error:
        raise ValueError(str(error)) from error


def _parse_path(text: str) -> Path:
    if not text:
        raise ValueError('the path is empty')
    return Path(text)


def _parse_secret(text: str) -> Secret:
    if not text:
        raise ValueError('the secret is empty')
    return Secret(text)


_PARSERS: dict[Any, Callable[[str], Any]] = {
    str: str,
    int: int,
    float: _parse_float,
    bool: _parse_bool,
    Path: _parse_path,
    Address: _parse_address,
    Secret: _parse_secret,
    NamedAddress: NamedAddress.parse,
}
_TYPE_DESCRIPTIONS: dict[Any, str] = {
    str: 'text',
    int: 'whole number',
    float: 'number',
    bool: 'true or false',
    Path: 'path',
    Address: 'host:port',
    Secret: 'secret text',
    NamedAddress: 'name=host:port',
}


def _parser_for(base: Any) -> Callable[[str], Any]:
    if isinstance(base, type) and issubclass(base, Enum):
        return base
    try:
        return _PARSERS[base]
    except KeyError:
        raise TypeError(
            f'settings of type {base!r} are not supported'
        ) from None


def _constraints(annotation: Any) -> tuple[Any, ...]:
    if get_origin(annotation) is not Annotated:
        return ()
    constraints: list[Any] = []
    for item in get_args(annotation)[1:]:
        constraints += getattr(item, 'metadata', None) or [item]
    return tuple(constraints)


def _describe_bounds(annotation: Any) -> list[str]:
    return [
        f'{words} {getattr(constraint, name)}'
        for constraint in _constraints(annotation)
        for name, words in _BOUND_DESCRIPTIONS.items()
        if getattr(constraint, name, None) is not None
    ]


def _check_bounds(annotation: Any, value: Any) -> Any:
    constraints = _constraints(annotation)
    if not constraints:
        return value
    if any(isinstance(item, msgspec.Meta) for item in constraints):
        bounded: Any = Annotated[(type(value), *constraints)]
        try:
            return msgspec.convert(value, bounded)
        except msgspec.ValidationError as error:
            raise ValueError(str(error)) from error
    # Address and Secret have no pydantic schema. pydantic checks only the
    # constraints, since the value has already been parsed.
    constrained: Any = Annotated[(type(value), *constraints)]
    adapter: pydantic.TypeAdapter[Any] = pydantic.TypeAdapter(
        constrained,
        config=pydantic.ConfigDict(arbitrary_types_allowed=True),
    )
    return adapter.validate_python(value)

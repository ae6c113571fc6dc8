"""Values of settings: how a text is read and what is allowed."""

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

_TRUE = frozenset({'true', 'yes', 'on', '1'})
_FALSE = frozenset({'false', 'no', 'off', '0'})
_BOUNDS = {
    'gt': 'greater than',
    'ge': 'at least',
    'lt': 'less than',
    'le': 'at most',
    'min_length': 'length at least',
    'max_length': 'length at most',
}


class Member(NamedTuple):
    """A named process and its address, written ``name=host:port``."""

    name: str
    address: Address

    def __str__(self) -> str:
        return f'{self.name}={self.address}'

    @classmethod
    def parse(cls, text: str) -> 'Member':
        """Read ``name=host:port``.

        Raises
        ------
        ValueError
            If the text has no name or no address.
        """
        name, _, address = text.partition('=')
        if not name:
            raise ValueError(f'no name: {text!r}')
        return cls(name, _parse_address(address))


def base_type(annotation: Any) -> Any:
    """Return the type below ``Annotated``, ``NewType`` and ``| None``."""
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
    """Return whether ``None`` is a value of the setting."""
    if get_origin(annotation) is Annotated:
        annotation = get_args(annotation)[0]
    is_union = get_origin(annotation) in (Union, UnionType)
    return is_union and NoneType in get_args(annotation)


def item_type(annotation: Any) -> Any | None:
    """Return the type of a tuple's items, None for other types."""
    base = base_type(annotation)
    return get_args(base)[0] if get_origin(base) is tuple else None


def parse_value(annotation: Any, value: object) -> Any:
    """Read the value of a setting.

    Parameters
    ----------
    annotation : type
        Declared type of the field.
    value : object
        Text, or what the command line made of it.

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
    item = item_type(annotation)
    if item is not None:
        texts = [part.strip() for part in text.split(',')] if text else []
        parsed: Any = tuple(parse_value(item, part) for part in texts)
    else:
        parsed = _parser(base)(text)
    return _check_bounds(annotation, parsed)


def allowed_values(annotation: Any) -> str:
    """Describe the values that a setting accepts."""
    item = item_type(annotation)
    base = base_type(annotation)
    if item is not None:
        text = f'comma-separated list of {allowed_values(item)}'
    elif isinstance(base, type) and issubclass(base, Enum):
        text = 'one of ' + ', '.join(str(one.value) for one in base)
    else:
        text = _DESCRIPTIONS.get(base, getattr(base, '__name__', str(base)))
    return ', '.join([text, *_bound_texts(annotation)])


def format_value(value: object) -> str:
    """Return the text that ``parse_value`` reads as the value."""
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, Enum):
        return str(value.value)
    if type(value) is tuple:
        return ','.join(format_value(one) for one in value)
    return str(value)


def _parse_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError('not finite')
    return value


def _parse_bool(text: str) -> bool:
    lower = text.lower()
    if lower not in _TRUE | _FALSE:
        raise ValueError('neither true nor false')
    return lower in _TRUE


def _parse_address(text: str) -> Address:
    try:
        return Address.parse(text)
    except ProtocolError as error:
        raise ValueError(str(error)) from error


def _parse_path(text: str) -> Path:
    if not text:
        raise ValueError('empty path')
    return Path(text)


def _parse_secret(text: str) -> Secret:
    if not text:
        raise ValueError('empty secret')
    return Secret(text)


_PARSERS: dict[Any, Callable[[str], Any]] = {
    str: str,
    int: int,
    float: _parse_float,
    bool: _parse_bool,
    Path: _parse_path,
    Address: _parse_address,
    Secret: _parse_secret,
    Member: Member.parse,
}
_DESCRIPTIONS: dict[Any, str] = {
    str: 'text',
    int: 'whole number',
    float: 'number',
    bool: 'true or false',
    Path: 'path',
    Address: 'host:port',
    Secret: 'secret text',
    Member: 'name=host:port',
}


def _parser(base: Any) -> Callable[[str], Any]:
    if isinstance(base, type) and issubclass(base, Enum):
        return base
    try:
        return _PARSERS[base]
    except KeyError:
        raise TypeError(f'settings of type {base!r} are not known') from None


def _metadata(annotation: Any) -> tuple[Any, ...]:
    if get_origin(annotation) is not Annotated:
        return ()
    constraints: list[Any] = []
    for one in get_args(annotation)[1:]:
        constraints += getattr(one, 'metadata', None) or [one]
    return tuple(constraints)


def _bound_texts(annotation: Any) -> list[str]:
    return [
        f'{words} {getattr(constraint, name)}'
        for constraint in _metadata(annotation)
        for name, words in _BOUNDS.items()
        if getattr(constraint, name, None) is not None
    ]


def _check_bounds(annotation: Any, value: Any) -> Any:
    constraints = _metadata(annotation)
    if not constraints:
        return value
    if any(isinstance(one, msgspec.Meta) for one in constraints):
        bounded: Any = Annotated[(type(value), *constraints)]
        try:
            return msgspec.convert(value, bounded)
        except msgspec.ValidationError as error:
            raise ValueError(str(error)) from error
    # Address and Secret have no pydantic schema: only the constraints are
    # pydantic's, the type has been read above.
    constrained: Any = Annotated[(type(value), *constraints)]
    adapter: pydantic.TypeAdapter[Any] = pydantic.TypeAdapter(
        constrained,
        config=pydantic.ConfigDict(arbitrary_types_allowed=True),
    )
    return adapter.validate_python(value)

"""Removal of secrets from events before they are written."""

from collections.abc import Mapping
import re
from typing import Any

from siskinsail_types import Secret

REDACTED = '***'
_SECRET_FIELD_NAME = re.compile(
    r'(^|[-_])(keys?|secrets?|passwords?|tokens?|authorization)$',
    re.IGNORECASE,
)
_BEARER_CREDENTIALS = re.compile(r'(?i)\b(bearer)\s+\S+')


def redact(value: Any) -> Any:
    """Return a copy with all secrets replaced.

    Secrets are values of type ``Secret``, values of fields whose name ends in
    a word such as ``key`` or ``authorization``, and bearer credentials in
    texts. Numbers in such fields are kept, since they are counts.

    Examples
    --------
    >>> redact({'key': 'k-1', 'account': 'a'})
    {'key': '***', 'account': 'a'}
    """
    if isinstance(value, Secret):
        return REDACTED
    if isinstance(value, str):
        return _BEARER_CREDENTIALS.sub(rf'\1 {REDACTED}', value)
    if isinstance(value, bytes):
        return redact(value.decode('utf-8', 'replace'))
    if isinstance(value, Mapping):
        return {
            name: _redact_field(str(name), item)
            for name, item in value.items()
        }
    if isinstance(value, list | tuple | set | frozenset):
        return [redact(item) for item in value]
    return value


def _redact_field(name: str, value: Any) -> Any:
    if not _SECRET_FIELD_NAME.search(name):
        return redact(value)
    is_number = isinstance(value, int | float | None)
    if is_number or isinstance(value, Mapping):
        return redact(value)
    return REDACTED

"""Idempotency records, written in the transaction of the write itself."""

import hashlib
from urllib.parse import quote

import msgspec

from siskinsail_backend import Operation
from siskinsail_backend import Statement
from siskinsail_types import AccountId

RECORD_TABLE = 'siskinsail_requests'
_DIGEST_BYTES = 16
# The result of these operations is the value in the statement, so a record
# need not contain it.
_PREDICTABLE_OPERATIONS = frozenset((Operation.PUT, Operation.INSERT))

_encoder = msgspec.json.Encoder()


class IdempotencyRecord(msgspec.Struct, omit_defaults=True):
    """Record of a committed write, by which a resent request is recognised.

    Parameters
    ----------
    digest : str
        Digest of the statements, to detect another body with the same key.
    at_s : int
        Wall time of the request's deadline, in seconds since the epoch. The
        record was not written later. 0 if the time is not known.
    results : list of Raw or None
        Results, if they cannot be derived from the statements.
    """

    digest: str
    at_s: int = 0
    results: list[msgspec.Raw] | None = None


class _RecordRow(msgspec.Struct):
    value: IdempotencyRecord | None = None


_record_decoder = msgspec.json.Decoder(_RecordRow)


def record_key(account: AccountId, request_id: str) -> str:
    """Return the key of a record, which is unique to the client account."""
    return f'{quote(account, safe="")}/{request_id}'


def request_digest(target_name: str, statements: tuple[Statement, ...]) -> str:
    """Return the digest of statements on a service or in a transaction."""
    hasher = hashlib.blake2b(target_name.encode(), digest_size=_DIGEST_BYTES)
    hasher.update(_encoder.encode(statements))
    return hasher.hexdigest()


def insert_record(key: str, record: IdempotencyRecord) -> Statement:
    """Return the statement that writes a record, or fails if it exists."""
    value = msgspec.Raw(_encoder.encode(record))
    return Statement(Operation.INSERT, RECORD_TABLE, key, value)


def read_record(key: str) -> Statement:
    """Return the statement that reads a record."""
    return Statement(Operation.GET, RECORD_TABLE, key)


def decode_record(result: msgspec.Raw) -> IdempotencyRecord | None:
    """Return the record in the result of ``read_record``.

    Raises
    ------
    msgspec.DecodeError
        If the stored value is not an idempotency record.
    """
    return _record_decoder.decode(result).value


def has_predictable_results(statements: tuple[Statement, ...]) -> bool:
    """Tell whether the results can be derived from the statements."""
    return all(
        statement.op in _PREDICTABLE_OPERATIONS for statement in statements
    )


def predicted_results(
    statements: tuple[Statement, ...],
) -> list[msgspec.Raw]:
    """Return the results that are derived from the statements."""
    return [
        msgspec.Raw(_encoder.encode({'value': statement.value}))
        for statement in statements
    ]

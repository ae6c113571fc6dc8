"""Statements of the expiry of idempotency records, and their results."""

from typing import NamedTuple

import msgspec

from siskinsail_backend import ExecuteAnswer
from siskinsail_backend import Operation
from siskinsail_backend import Statement
from siskinsail_types import DECODE_ERRORS

from ._records import RECORD_TABLE

CLAIM_TABLE = 'siskinsail_sweeps'
_CLAIM_KEY = 'claim'


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """Claim to expire the records of a group, stored in the group.

    Parameters
    ----------
    holder : str
        Unique name of the process.
    count : int
        Number of renewals. Other processes detect by its change that the
        holder is alive, without comparing clocks.
    after : str
        Key up to which the current pass has processed the records.
    """

    holder: str
    count: int
    after: str = ''


class Page(NamedTuple):
    """A page of records, ordered by key.

    Parameters
    ----------
    record_times : list of tuple
        Key of each record and its ``at_s``, 0 if it is not known.
    size_bytes : int
        Size of the encoded page.
    """

    record_times: list[tuple[str, int]]
    size_bytes: int


class _ListStatement(Statement, frozen=True, omit_defaults=True):
    """List statement with pagination: start key and maximum length."""

    after: str = ''
    limit: int = 0


class _RecordTime(msgspec.Struct):
    at_s: int = 0


class _RecordItem(msgspec.Struct):
    key: str
    value: msgspec.Raw


class _RecordItems(msgspec.Struct):
    items: list[_RecordItem]


class _ClaimRow(msgspec.Struct):
    value: Claim | None = None


_encoder = msgspec.json.Encoder()
_claim_decoder = msgspec.json.Decoder(_ClaimRow)
_items_decoder = msgspec.json.Decoder(_RecordItems)
_time_decoder = msgspec.json.Decoder(_RecordTime)


def read_claim() -> Statement:
    """Return the statement that reads the claim."""
    return Statement(Operation.GET, CLAIM_TABLE, _CLAIM_KEY)


def write_claim(claim: Claim) -> Statement:
    """Return the statement that writes the claim."""
    value = msgspec.Raw(_encoder.encode(claim))
    return Statement(Operation.PUT, CLAIM_TABLE, _CLAIM_KEY, value)


def list_records(after: str, limit: int) -> Statement:
    """Return the statement that lists up to ``limit`` records."""
    return _ListStatement(
        Operation.LIST, RECORD_TABLE, after=after, limit=limit
    )


def delete_record(key: str) -> Statement:
    """Return the statement that deletes a record."""
    return Statement(Operation.DELETE, RECORD_TABLE, key)


def decode_claim(answer: ExecuteAnswer) -> Claim | None:
    """Return the claim, which is the first result of an answer.

    Raises
    ------
    msgspec.DecodeError
        If the stored value is not a claim.
    """
    return _claim_decoder.decode(answer.results[0]).value


def decode_page(answer: ExecuteAnswer) -> Page:
    """Return the page of records, which is the second result of an answer.

    Raises
    ------
    msgspec.DecodeError
        If the result is not a list of records.
    """
    text = answer.results[1]
    items = _items_decoder.decode(text).items
    return Page(
        [(item.key, _time_s(item.value)) for item in items],
        len(memoryview(text)),
    )


def _time_s(value: msgspec.Raw) -> int:
    # A record that cannot be decoded must not prevent the deletion of others.
    try:
        return _time_decoder.decode(value).at_s
    except DECODE_ERRORS:
        return 0

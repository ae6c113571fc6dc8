"""Validation of catalogue entries, which reports all mistakes at once."""

from collections.abc import Iterator
from collections.abc import Mapping
from functools import singledispatch
import math
import re

from siskinsail_types import Consistency
from siskinsail_types import EntryKind

from ._change import Mistake
from ._entry import AccountEntry
from ._entry import Entry
from ._entry import entry_kind
from ._entry import KeyEntry
from ._entry import RouteEntry
from ._entry import ServiceEntry
from ._entry import SessionPolicy

MAX_ENTRIES = 10_000
MAX_TEXT_LENGTH = 128
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_RATE = 1e9
MAX_WEIGHT = 1_000
MAX_AGE_S = 7 * 24 * 3600.0
MAX_DURATION_S = 3600.0
MAX_PRIORITY = 100

EntryKey = tuple[EntryKind, str]

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}')
_KEY_DIGEST = re.compile(r'[0-9a-f]{64}')

# Field and message of a mistake.
_Finding = tuple[str, str]


def entry_key(entry: Entry) -> EntryKey:
    """Return the kind and name of an entry, which identify it."""
    return entry_kind(entry), entry.name


def entry_mistakes(entry: Entry) -> list[Mistake]:
    """Return the mistakes of an entry regardless of other entries."""
    kind = entry_kind(entry)
    return [
        Mistake(kind.value, entry.name, field, message)
        for field, message in (
            *_common_findings(entry),
            *_kind_findings(entry),
        )
    ]


def reference_mistakes(entries: Mapping[EntryKey, Entry]) -> list[Mistake]:
    """Return a mistake for each reference to an entry that is missing."""
    mistakes = []
    for entry in entries.values():
        missing = _missing_reference(entry, entries)
        if missing is not None:
            field, name = missing
            mistakes.append(
                Mistake(
                    entry_kind(entry).value,
                    entry.name,
                    field,
                    f'{field} {name!r} does not exist',
                )
            )
    return mistakes


def _missing_reference(
    entry: Entry, entries: Mapping[EntryKey, Entry]
) -> tuple[str, str] | None:
    if isinstance(entry, RouteEntry):
        if (EntryKind.SERVICE, entry.service) not in entries:
            return 'service', entry.service
    elif (
        isinstance(entry, KeyEntry)
        and (EntryKind.ACCOUNT, entry.account) not in entries
    ):
        return 'account', entry.account
    return None


def _common_findings(entry: Entry) -> Iterator[_Finding]:
    if not isinstance(entry, KeyEntry) and not _NAME.fullmatch(entry.name):
        yield 'name', 'the name is not well formed'
    if not 0 < len(entry.owner) <= MAX_TEXT_LENGTH:
        yield 'owner', f'the owner needs 1 to {MAX_TEXT_LENGTH} characters'
    if entry.version < 0:
        yield 'version', 'the expected version is below 0'


@singledispatch
def _kind_findings(entry: object) -> list[_Finding]:
    """Return the mistakes specific to a kind of entry; none by default."""
    return []


@_kind_findings.register
def _(entry: ServiceEntry) -> list[_Finding]:
    return [
        *_range_findings('slots', entry.slots, 1, MAX_SLOTS),
        *_range_findings('connections', entry.connections, 1, MAX_CONNECTIONS),
        *_range_findings(
            'connections_per_database',
            entry.connections_per_database or 1,
            1,
            MAX_CONNECTIONS,
        ),
        *_range_findings(
            'confirming_replicas', entry.confirming_replicas, 0, 1
        ),
    ]


@_kind_findings.register
def _(entry: RouteEntry) -> list[_Finding]:
    findings = []
    if entry.max_age_s is not None:
        findings += _range_findings('max_age_s', entry.max_age_s, 0, MAX_AGE_S)
    policy = entry.session_policy
    if policy is not None:
        findings += _session_policy_findings(policy)
        if (
            policy.consistency is not Consistency.LATEST
            and entry.max_age_s is None
        ):
            findings.append(('max_age_s', 'the consistency needs an age'))
    return findings


def _session_policy_findings(policy: SessionPolicy) -> list[_Finding]:
    fields = (
        'statement_timeout_s',
        'latency_objective_s',
        'transaction_idle_s',
    )
    findings = [
        (name, f'{name} is not above 0 and at most {MAX_DURATION_S:g}')
        for name in fields
        if not 0 < getattr(policy, name) <= MAX_DURATION_S
    ]
    return [
        *findings,
        *_range_findings('priority', policy.priority, 0, MAX_PRIORITY),
    ]


@_kind_findings.register
def _(entry: AccountEntry) -> list[_Finding]:
    findings = [
        *_range_findings('rate', entry.rate, 0, MAX_RATE),
        # With a burst below 1 the bucket never holds a whole token.
        *_range_findings('burst', entry.burst, 1, MAX_RATE),
        *_range_findings('weight', entry.weight, 1, MAX_WEIGHT),
    ]
    if entry.rate == 0:
        findings.append(('rate', 'the rate is 0'))
    return findings


@_kind_findings.register
def _(entry: KeyEntry) -> list[_Finding]:
    if _KEY_DIGEST.fullmatch(entry.name):
        return []
    return [('name', 'the name is not a key digest of 64 hex digits')]


def _range_findings(
    field: str, value: float, low: float, high: float
) -> list[_Finding]:
    if math.isfinite(value) and low <= value <= high:
        return []
    return [(field, f'{field} is not from {low:g} to {high:g}')]

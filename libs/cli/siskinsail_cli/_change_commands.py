"""Commands that change the catalogue."""

from pathlib import Path
import re
import secrets
from typing import Any

import msgspec

from siskinsail_catalogue import Entry
from siskinsail_catalogue import entry_key
from siskinsail_catalogue import entry_to_dict
from siskinsail_catalogue import key_digest
from siskinsail_types import EntryKind
from siskinsail_types import KeyState
from siskinsail_types import Placement
from siskinsail_types import Secret

from ._apply import apply_changes
from ._apply import read_catalogue
from ._difference import find_difference
from ._files import read_entries
from ._invocation import Context
from ._invocation import parse_bool
from ._outcome import CommandError
from ._outcome import ExitStatus
from ._outcome import Output

_DIGEST = re.compile(r'[0-9a-f]{64}')
_KEY_BYTES = 32


async def apply(
    context: Context, path: str, delete_missing: str = 'false'
) -> Output:
    """Apply the entries that files declare to the catalogue.

    Only entries that differ are sent, with the versions that were read. The
    changes are applied atomically: all of them or none.

    Parameters
    ----------
    path : str
        A .json or .toml file, or a folder with such files.
    delete_missing : bool
        Whether to delete entries that are in none of the files.
    """
    declared = read_entries(Path(str(path)))
    difference = find_difference(
        declared,
        await read_catalogue(context.client),
        delete_missing=parse_bool('--delete-missing', delete_missing),
    )
    return await apply_changes(context.client, difference, context.options)


async def give_key(
    context: Context, account: str, owner: str = '', key_file: str = ''
) -> Output:
    """Give a client account a key and print the key once.

    Parameters
    ----------
    account : str
        Name of the client account.
    owner : str
        Owner of the key entry; the operator if not given.
    key_file : str
        File that contains the key; a key is generated if not given.
    """
    key = Secret(secrets.token_urlsafe(_KEY_BYTES))
    if key_file:
        key = _read_key(Path(str(key_file)))
    digest = key_digest(key)
    fields = {'account': str(account), 'state': KeyState.GIVEN.value}
    try:
        output = await _put_entry(
            context, EntryKind.KEY, digest, fields, owner
        )
    except CommandError as error:
        if error.status is not ExitStatus.UNKNOWN:
            raise
        raise CommandError(
            error.status,
            f'{error.message}\nthe key with digest {digest} may have been '
            'given, but is not printed; withdraw it and give another key',
        ) from error
    value = {**output.value, 'digest': digest}
    if not key_file:
        value['key'] = key.reveal()
    key_note = f'key: {key.reveal()}' if not key_file else f'digest: {digest}'
    return Output(
        value, output.tables, (*output.notes, key_note), output.status
    )


async def withdraw_key(context: Context, digest: str) -> Output:
    """Withdraw a key, so that requests with this key are refused.

    Parameters
    ----------
    digest : str
        Digest of the key, as listed by ``catalogue show --kind key``.
    """
    name = str(digest)
    if not _DIGEST.fullmatch(name):
        raise CommandError(
            ExitStatus.WRONG_USAGE,
            'the digest of a key must have 64 hexadecimal digits',
        )
    fields = {'state': KeyState.WITHDRAWN.value}
    return await _put_entry(
        context, EntryKind.KEY, name, fields, must_exist=True
    )


async def data_centre_out(
    context: Context, name: str, owner: str = ''
) -> Output:
    """Take a data centre out of service.

    Parameters
    ----------
    name : str
        Name of the data centre.
    owner : str
        Owner of the entry if a new one is created; the operator if not given.
    """
    return await _set_placement(
        context, EntryKind.DATA_CENTRE, name, Placement.OUT, owner
    )


async def data_centre_in(
    context: Context, name: str, owner: str = ''
) -> Output:
    """Take a data centre back into service.

    Parameters
    ----------
    name : str
        Name of the data centre.
    owner : str
        Owner of the entry if a new one is created; the operator if not given.
    """
    return await _set_placement(
        context, EntryKind.DATA_CENTRE, name, Placement.IN, owner
    )


async def backend_out(context: Context, name: str, owner: str = '') -> Output:
    """Send no new work to a backend server.

    Parameters
    ----------
    name : str
        Name of the database.
    owner : str
        Owner of the entry if a new one is created; the operator if not given.
    """
    return await _set_placement(
        context, EntryKind.BACKEND_SERVER, name, Placement.OUT, owner
    )


async def backend_in(context: Context, name: str, owner: str = '') -> Output:
    """Send work to a backend server again.

    Parameters
    ----------
    name : str
        Name of the database.
    owner : str
        Owner of the entry if a new one is created; the operator if not given.
    """
    return await _set_placement(
        context, EntryKind.BACKEND_SERVER, name, Placement.IN, owner
    )


async def _set_placement(
    context: Context,
    kind: EntryKind,
    name: str,
    placement: Placement,
    owner: str,
) -> Output:
    fields = {'placement': placement.value}
    return await _put_entry(context, kind, str(name), fields, owner)


async def _put_entry(
    context: Context,
    kind: EntryKind,
    name: str,
    fields: dict[str, Any],
    owner: str = '',
    *,
    must_exist: bool = False,
) -> Output:
    """Set fields of one entry, which is created if it does not exist."""
    current = await read_catalogue(context.client)
    entries_by_key = {entry_key(entry): entry for entry in current}
    old_entry = entries_by_key.get((kind, name))
    if old_entry is None and must_exist:
        raise CommandError(
            ExitStatus.REFUSED, f'there is no {kind.value} {name}'
        )
    value: dict[str, Any] = entry_to_dict(old_entry) if old_entry else {}
    value.setdefault('owner', str(owner) or context.options.operator)
    value |= {'kind': kind.value, 'name': name, **fields}
    try:
        new_entry: Entry = msgspec.convert(value, type=Entry)
    except msgspec.ValidationError as error:
        raise CommandError(ExitStatus.WRONG_USAGE, str(error)) from error
    difference = find_difference([new_entry], current)
    return await apply_changes(context.client, difference, context.options)


def _read_key(path: Path) -> Secret:
    try:
        key = path.read_text(encoding='utf-8').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(ExitStatus.WRONG_USAGE, str(error)) from error
    if not key:
        raise CommandError(
            ExitStatus.WRONG_USAGE, f'{path}: the file contains no key'
        )
    return Secret(key)

"""Output, errors and exit statuses of commands."""

from dataclasses import dataclass
from enum import IntEnum
from enum import unique
from typing import Any

from siskinsail_types import SiskinsailError


@unique
class ExitStatus(IntEnum):
    """Exit statuses of the tool.

    ``UNKNOWN`` means that no entry VM gave a definite answer, ``NOT_IN_FORCE``
    that a change was accepted but is not yet in force everywhere.
    """

    DONE = 0
    REFUSED = 1
    WRONG_USAGE = 2
    UNKNOWN = 3
    NOT_IN_FORCE = 4


class CommandError(SiskinsailError):
    """A command failed.

    Parameters
    ----------
    status : ExitStatus
        Exit status of the tool.
    message : str
        Error message for the operator.
    """

    def __init__(self, status: ExitStatus, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


@dataclass(frozen=True)
class Table:
    """Table with a title; a row without a value for a column shows ``-``."""

    title: str
    columns: tuple[str, ...]
    rows: list[dict[str, Any]]


@dataclass(frozen=True)
class Output:
    """Result of a command.

    Parameters
    ----------
    value : object
        Value to print with ``--output json``.
    tables : tuple of Table
        Tables to print with ``--output table``.
    notes : tuple of str
        Messages to print to standard error with either output format.
    status : ExitStatus
        Exit status of the tool.
    """

    value: Any
    tables: tuple[Table, ...] = ()
    notes: tuple[str, ...] = ()
    status: ExitStatus = ExitStatus.DONE


def format_table(table: Table) -> str:
    """Return the text of a table with left-aligned columns."""
    cell_rows = [table.columns]
    cell_rows += [
        tuple(_format_cell(row.get(column)) for column in table.columns)
        for row in table.rows
    ]
    widths = [
        max(len(cells[i]) for cells in cell_rows)
        for i in range(len(cell_rows[0]))
    ]
    aligned_lines = [
        '  '.join(
            cell.ljust(width)
            for cell, width in zip(cells, widths, strict=True)
        ).rstrip()
        for cells in cell_rows
    ]
    return '\n'.join([table.title, *(f'  {line}' for line in aligned_lines)])


def _format_cell(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, float):
        return f'{value:g}'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return str(value)

"""Markdown table of settings for the documentation."""

from ._field import SettingField
from ._field import settings_fields


def settings_table(settings_type: type) -> str:
    """Return a Markdown table of the settings of a type."""
    rows = [
        '| flag | environment variable | values | default | meaning |',
        '| --- | --- | --- | --- | --- |',
    ]
    rows += [_row(field) for field in settings_fields(settings_type)]
    return '\n'.join(rows) + '\n'


def _row(field: SettingField) -> str:
    cells = [
        f'`{field.flag}`',
        f'`{field.variable}`',
        field.allowed,
        field.default_text,
        field.description,
    ]
    return '| ' + ' | '.join(cell.replace('|', '\\|') for cell in cells) + ' |'

"""Rows of the settings page about reads outside the data centre."""

import dataclasses
from pathlib import Path
import re

from siskinsail_locality import LocalitySettings

PAGE = Path(__file__).parents[3] / 'docs' / 'settings.md'
ROW = re.compile(r'^\| `locality\.(\w+)` \| ([^|]*) \| .+ \|$', re.MULTILINE)


def test_the_settings_page_lists_all_settings_and_their_defaults():
    # Fails if a setting was added or changed and the page was not updated.
    rows = dict(ROW.findall(PAGE.read_text()))
    defaults = {
        field.name: 'derived'
        if field.default is dataclasses.MISSING
        else str(field.default).lower()
        for field in dataclasses.fields(LocalitySettings)
    }
    assert rows == defaults | {'phase': 'derived'}

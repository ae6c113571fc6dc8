"""Tests of the settings page and of the validation at start."""

from pathlib import Path

import pytest

from siskinsail_daemon import DaemonSettings
from siskinsail_settings import load_settings
from siskinsail_settings import settings_fields
from siskinsail_settings import settings_table
from siskinsail_types import SettingsError

PAGE = Path(__file__).parents[3] / 'docs' / 'settings.md'
FLAGS = {
    'vm': 'e1',
    'data_centre': 'accra-tema',
    'client_address': '127.1.1.1:7000',
    'peer_address': '127.1.1.1:7001',
    'operator_address': '127.1.1.1:7002',
    'control_members': 'e1=127.1.1.1:7001',
    'fleet_secret': 'hidden-word',
}


def test_the_settings_page_matches_the_code():
    # Fails if a setting was added or changed and the page was not updated.
    # Sections about settings of other types follow the table.
    page = PAGE.read_text().partition('\n## ')[0]
    _, introduction, rows = page.partition('| ')
    assert (
        introduction + rows
        == settings_table(DaemonSettings).rstrip('\n') + '\n'
    )
    for field in settings_fields(DaemonSettings):
        assert field.description, f'{field.flag} has no description'


@pytest.mark.parametrize(
    ('changes', 'expected_texts'),
    [
        (
            {'vm': None, 'lease_s': '0', 'drain_s': 'x', 'lese_s': '1'},
            ['--vm', '--lease-s', '--drain-s', '--lese-s'],
        ),
        (
            {'control_members': 'e1=127.1.1.1:7001,e1=127.1.1.2:7001'},
            ['contains a duplicate member name'],
        ),
        (
            {'vm': 'e2', 'data_folder': '/data'},
            ['does not name this entry VM, e2'],
        ),
        ({'peer_address': 'nowhere'}, ['--peer-address']),
        (
            {'record_retention_s': '0.5', 'clock_error_s': '-1'},
            ['--record-retention-s', '--clock-error-s'],
        ),
        (
            {'log_max_bytes': '1', 'log_files_kept': '0'},
            ['--log-max-bytes', '--log-files-kept'],
        ),
        (
            {'transaction_idle_s': '0', 'max_transactions_per_account': '0'},
            ['--transaction-idle-s', '--max-transactions-per-account'],
        ),
    ],
    ids=[
        'all-at-once',
        'twice',
        'no-member',
        'address',
        'retention',
        'log',
        'transactions',
    ],
)
def test_invalid_settings_are_reported(changes, expected_texts):
    # Guards against a daemon that starts with only some of its settings.
    flags = {
        name: value
        for name, value in (FLAGS | changes).items()
        if value is not None
    }
    with pytest.raises(SettingsError) as caught:
        load_settings(DaemonSettings, flags, {})
    message = str(caught.value)
    assert [text for text in expected_texts if text not in message] == []
    assert 'hidden-word' not in message


def test_environment_variables_set_what_flags_omit():
    # Secrets are set by environment variables and must not be displayed.
    flags = {name: FLAGS[name] for name in FLAGS if name != 'fleet_secret'}
    environ = {
        'SISKINSAIL_FLEET_SECRET': 'hidden-word',
        'SISKINSAIL_VM': 'other',
    }
    settings = load_settings(DaemonSettings, flags, environ)
    assert settings.fleet_secret.reveal() == 'hidden-word'
    assert settings.vm == 'e1'
    assert 'hidden-word' not in repr(settings)

"""Tests of the precedence of sources, error messages and masked secrets."""

from dataclasses import dataclass
from enum import Enum
import os
from pathlib import Path
import subprocess
import sys
from typing import Annotated

from pydantic import BaseModel
from pydantic import Field
import pytest

from siskinsail_settings import load_settings
from siskinsail_settings import NamedAddress
from siskinsail_settings import settings_table
from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import SettingsError
from siskinsail_types import VmId


class LimitPolicy(Enum):
    LENT = 'lent'
    STATIC = 'static'


@dataclass(frozen=True)
class LeaseSettings:
    """Lease.

    Parameters
    ----------
    lease_s : float
        Length of the daemon lease.
    """

    lease_s: Annotated[float, Field(gt=0, le=60)] = 2.5

    def __post_init__(self) -> None:
        if self.lease_s == 13:
            raise ValueError('13 is not allowed with this policy')


class Settings(BaseModel, frozen=True, arbitrary_types_allowed=True):
    vm: VmId = Field(description='Name of the VM.')
    slots: int = Field(default=3, ge=1)
    control: bool = False
    policy: LimitPolicy = LimitPolicy.LENT
    data_folder: Path | None = None
    operator_address: Address = Address('127.0.0.1', 0)
    fleet_secret: Secret = Secret('default')
    members: tuple[NamedAddress, ...] = ()
    lease: LeaseSettings = LeaseSettings()


@pytest.mark.parametrize(
    ('flags', 'environ', 'name', 'expected_value'),
    [
        ({}, {}, 'slots', 3),
        ({}, {'SISKINSAIL_SLOTS': '5'}, 'slots', 5),
        ({'slots': 7}, {'SISKINSAIL_SLOTS': '5'}, 'slots', 7),
        ({'control': True}, {}, 'control', True),
        ({}, {'SISKINSAIL_CONTROL': 'no'}, 'control', False),
        ({'policy': 'static'}, {}, 'policy', LimitPolicy.STATIC),
        ({'data-folder': '/d'}, {}, 'data_folder', Path('/d')),
        ({'data_folder': ''}, {}, 'data_folder', None),
        (
            {'operator-address': '127.1.1.1:70'},
            {},
            'operator_address',
            Address('127.1.1.1', 70),
        ),
        (
            {'members': 'a=127.1.1.1:1, b=127.1.1.2:2'},
            {},
            'members',
            (
                NamedAddress('a', Address('127.1.1.1', 1)),
                NamedAddress('b', Address('127.1.1.2', 2)),
            ),
        ),
        ({'lease-s': '3'}, {}, 'lease', LeaseSettings(3.0)),
    ],
)
def test_flag_overrides_environment_and_default(
    flags, environ, name, expected_value
):
    settings = load_settings(Settings, {'vm': 'e1', **flags}, environ)
    assert getattr(settings, name) == expected_value


@pytest.mark.parametrize(
    ('flags', 'environ', 'expected'),
    [
        (
            {'slots': '0', 'lease-s': 'nan', 'leas-s': '1', 'members': 'a'},
            {'SISKINSAIL_POLICY': 'other', 'SISKINSAIL_CONTROL': 'maybe'},
            [
                '--leas-s: unknown flag; closest match: --lease-s',
                '--vm / SISKINSAIL_VM: required, but not set; allowed: text',
                "--slots / SISKINSAIL_SLOTS: '0' (from flag); allowed: "
                'whole number, at least 1',
                "--control / SISKINSAIL_CONTROL: 'maybe' (from environment)"
                '; allowed: true or false',
                "--policy / SISKINSAIL_POLICY: 'other' (from environment)"
                '; allowed: one of lent, static',
                "--members / SISKINSAIL_MEMBERS: 'a' (from flag); allowed: "
                'comma-separated list of name=host:port',
                "--lease-s / SISKINSAIL_LEASE_S: 'nan' (from flag); "
                'allowed: number, greater than 0, at most 60, in seconds',
            ],
        ),
        ({'vm': 'e1', 'lease-s': 13}, {}, ['13 is not allowed with this p']),
        (
            {'vm': 'e1', 'fleet-secret': ''},
            {},
            ['--fleet-secret / SISKINSAIL_FLEET_SECRET: *** (from flag)'],
        ),
    ],
)
def test_all_invalid_settings_are_reported(flags, environ, expected):
    with pytest.raises(SettingsError) as caught:
        load_settings(Settings, flags, environ)
    assert len(caught.value.mistakes) == len(expected)
    for mistake, prefix in zip(caught.value.mistakes, expected, strict=True):
        assert mistake.startswith(prefix)


@dataclass(frozen=True)
class _DuplicateNames:
    lease_s: float = 1.0
    lease: LeaseSettings = LeaseSettings()


def test_duplicate_setting_names_are_rejected():
    with pytest.raises(TypeError, match='lease_s'):
        load_settings(_DuplicateNames, {}, {})


def test_table_lists_settings_and_masks_secrets():
    table = settings_table(Settings)
    assert '| `--lease-s` | `SISKINSAIL_LEASE_S` |' in table
    assert 'Length of the daemon lease.' in table
    assert "Secret('default')" not in table
    assert '| *** |' in table


_PROGRAM = """
import fire
from dataclasses import dataclass
from siskinsail_settings import make_command
@dataclass(frozen=True)
class S:
    name: str
    lease_s: float = 2.5
    fast: bool = False
def main(settings):
    "Run it."
    print(repr(settings))
    return 3 if settings.fast else 0
fire.Fire(make_command(S, main), name='siskinsaild')
"""


@pytest.mark.parametrize(
    ('arguments', 'status', 'stdout', 'stderr'),
    [
        (['--name', '010'], 0, "name='010', lease_s=2.5", ''),
        (['--name=a', '--lease-s=1'], 0, 'lease_s=1.0', ''),
        (['--name=a', '--lease_s', '1', '--fast'], 3, 'fast=True', ''),
        (['--leese-s=1'], 2, '', 'closest match: --lease-s'),
        (['--lease-s=x'], 2, '', 'SISKINSAIL_LEASE_S'),
        (['run', '--name=a'], 2, '', 'run: unexpected argument'),
        (['--help'], 0, '', 'SISKINSAIL_LEASE_S'),
    ],
)
def test_command_line(arguments, status, stdout, stderr):
    completed = subprocess.run(
        [sys.executable, '-c', _PROGRAM, *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
        env={**os.environ, 'PAGER': 'cat'},
    )
    assert completed.returncode == status, completed.stderr
    assert stdout in completed.stdout
    assert stderr in completed.stderr + completed.stdout

"""Tests of the replicated state machine.

They guard against state that a snapshot loses, and against commands of a
deposed leader that are applied late.
"""

import msgspec
import pytest

from siskinsail_catalogue import CatalogueChange
from siskinsail_control import AddTokenSecret
from siskinsail_control import ApplyCatalogue
from siskinsail_control import ControlState
from siskinsail_control import DecideUsage
from siskinsail_control import DeregisterDaemon
from siskinsail_control import encode_command
from siskinsail_control import FinishPrimaryChange
from siskinsail_control import LeaderStarted
from siskinsail_control import RegisterDaemon
from siskinsail_control import RegisterGroup
from siskinsail_control import StartPrimaryChange
from siskinsail_control import SuspendDaemon
from siskinsail_control._commands import RememberDatabases
from siskinsail_types import GroupPhase
from siskinsail_usage import DecidedWindow

from .conftest import account
from .test_membership import SERVER

COMMANDS = [
    LeaderStarted(),
    ApplyCatalogue(CatalogueChange('r', 'o', 1.0, (account(),))),
    RegisterGroup('g', 3),
    StartPrimaryChange('g', 4),
    FinishPrimaryChange('g', 4, 'db', 17),
    AddTokenSecret(b'1'),
    AddTokenSecret(b'2'),
    AddTokenSecret(b'3'),
    RegisterDaemon('vm', '1'),
    RegisterDaemon('vm', '2'),
    SuspendDaemon('vm', '1'),
    DeregisterDaemon('vm', '2'),
    RememberDatabases((SERVER, msgspec.structs.replace(SERVER, database='x'))),
    RememberDatabases((), ('x',)),
    DecideUsage((DecidedWindow(7, {'a': 2}), DecidedWindow(8, {}))),
    DecideUsage((DecidedWindow(8, {'a': 1}),), (7,)),
    StartPrimaryChange('g', 5, 'core-1'),
    StartPrimaryChange('g', 6, 'core-2'),
]


def _apply_commands(
    state: ControlState, commands, first_index: int = 1
) -> list[bytes]:
    return [
        state.apply(index, encode_command(command))
        for index, command in enumerate(commands, first_index)
    ]


@pytest.mark.parametrize('snapshot_position', range(len(COMMANDS)))
def test_a_restored_snapshot_continues_like_the_original(snapshot_position):
    state, restored = ControlState(), ControlState()
    _apply_commands(state, COMMANDS[:snapshot_position])
    restored.restore(state.snapshot())
    assert _apply_commands(
        state, COMMANDS[snapshot_position:]
    ) == _apply_commands(restored, COMMANDS[snapshot_position:])
    assert state.snapshot() == restored.snapshot()
    assert state.token_secrets == (b'3', b'2')
    assert state.daemons == {('vm', '1')}
    assert not state.is_active(('vm', '1'))
    assert state.had_daemons
    assert state.usage.pending == {8: DecidedWindow(8, {})}
    assert state.promoters('g') == {'': 4, 'core-1': 5, 'core-2': 6}


@pytest.mark.parametrize(
    ('commands', 'term', 'phase'),
    [
        ([StartPrimaryChange('g', 3)], 3, GroupPhase.STEADY),
        ([StartPrimaryChange('g', 5)], 5, GroupPhase.CHANGING),
        (
            [StartPrimaryChange('g', 4), StartPrimaryChange('g', 4)],
            4,
            GroupPhase.CHANGING,
        ),
        ([FinishPrimaryChange('g', 3, 'db', 1)], 3, GroupPhase.STEADY),
        (
            [StartPrimaryChange('g', 5), FinishPrimaryChange('g', 4, 'db', 1)],
            5,
            GroupPhase.CHANGING,
        ),
        ([RegisterGroup('g', 9)], 3, GroupPhase.STEADY),
    ],
)
def test_a_late_command_of_a_deposed_leader_is_rejected(commands, term, phase):
    state = ControlState()
    _apply_commands(state, [RegisterGroup('g', 3), *commands])
    group = state.groups['g']
    assert (group.term, group.phase) == (term, phase)
    assert group.primary is None

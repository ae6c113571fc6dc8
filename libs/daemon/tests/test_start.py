"""Tests that a daemon that cannot start reports the cause, not a traceback."""

import contextlib
from pathlib import Path
import random
import socket
import subprocess
import sys

import pytest


def _free_address():
    """Return a free address outside the ephemeral port range."""
    while True:
        port = random.randrange(12000, 32000)
        with socket.socket() as probe_socket, contextlib.suppress(OSError):
            probe_socket.bind(('127.0.0.1', port))
            return f'127.0.0.1:{port}'


def _run_daemon(changes):
    flags = {
        'vm': 'e1',
        'data_centre': 'accra-tema',
        'client_address': _free_address(),
        'peer_address': _free_address(),
        'operator_address': _free_address(),
        'control_members': 'e1=127.0.0.1:7001',
        'fleet_secret': 'hidden-word',
        **changes,
    }
    return subprocess.run(
        [
            Path(sys.executable).with_name('siskinsaild'),
            *(f'--{name}={value}' for name, value in flags.items()),
        ],
        capture_output=True,
        text=True,
        timeout=30,
    )


def _assert_clean_failure(completed, expected_texts):
    assert completed.returncode == 1, completed
    assert 'Traceback' not in completed.stderr
    assert completed.stderr.startswith('siskinsaild: ')
    assert all(text in completed.stderr for text in expected_texts), (
        completed.stderr
    )
    assert 'hidden-word' not in completed.stderr + completed.stdout


@pytest.mark.parametrize(
    'setting', ['client_address', 'peer_address', 'operator_address']
)
def test_an_address_in_use_is_reported(setting):
    address = _free_address()
    with socket.socket() as listening_socket:
        listening_socket.bind(('127.0.0.1', int(address.rpartition(':')[2])))
        listening_socket.listen()
        _assert_clean_failure(
            _run_daemon({setting: address}), [address, 'in use']
        )


@pytest.mark.parametrize(
    ('setting', 'file_name'),
    [('log_file', 'file/e1.jsonl'), ('data_folder', 'file')],
)
def test_an_unusable_path_is_reported(tmp_path, setting, file_name):
    (tmp_path / 'file').touch()
    path = tmp_path / file_name
    _assert_clean_failure(_run_daemon({setting: path}), [str(path)])

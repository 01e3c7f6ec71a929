"""A control process that cannot start prints one line and exits with 1."""

import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

SETTINGS = """
[instance]
name = control-1
data_centre = dc-a

[control]
listen = 127.0.0.1:{port}
api_listen = 127.0.0.1:{api_port}
members = control-1@127.0.0.1:{port}
data_folder = {folder}

[logging]
file = {log}
"""


@pytest.fixture
def used_port() -> Iterator[int]:
    """Return a port that another socket listens on during the test."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        yield listener.getsockname()[1]


def find_free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def run_control(tmp_path: Path, port: int, folder: Path) -> tuple[int, str]:
    settings = tmp_path / 'control.ini'
    settings.write_text(
        SETTINGS.format(
            port=port,
            api_port=find_free_port(),
            folder=folder,
            log=tmp_path / 'control.log',
        ),
    )
    completed = subprocess.run(
        [sys.executable, '-m', 'wasabiturn', 'control', str(settings)],
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.returncode, completed.stderr


def test_port_in_use(tmp_path: Path, used_port: int) -> None:
    status, errors = run_control(tmp_path, used_port, tmp_path / 'data')
    assert status == 1
    assert len(errors.splitlines()) == 1
    assert f'cannot listen on 127.0.0.1:{used_port}' in errors


def test_data_folder_cannot_be_created(tmp_path: Path) -> None:
    (tmp_path / 'file').write_text('')
    status, errors = run_control(
        tmp_path,
        find_free_port(),
        tmp_path / 'file' / 'data',
    )
    assert status == 1
    assert len(errors.splitlines()) == 1
    assert 'cannot create' in errors


def test_damaged_identity_file(tmp_path: Path) -> None:
    folder = tmp_path / 'data'
    folder.mkdir()
    (folder / 'identity').write_bytes(b'damaged')
    status, errors = run_control(tmp_path, find_free_port(), folder)
    assert status == 1
    assert len(errors.splitlines()) == 1
    assert 'identity is damaged; restore the disk' in errors

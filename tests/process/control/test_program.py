"""Start and failure of a control process: one clear line, exit status 1."""

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
def port() -> Iterator[int]:
    """A port that is in use as long as the test runs."""
    with socket.socket() as taken:
        taken.bind(('127.0.0.1', 0))
        taken.listen()
        yield taken.getsockname()[1]


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def run(tmp_path: Path, port: int, folder: Path) -> tuple[int, str]:
    settings = tmp_path / 'control.ini'
    settings.write_text(
        SETTINGS.format(
            port=port,
            api_port=free_port(),
            folder=folder,
            log=tmp_path / 'control.log',
        ),
    )
    ended = subprocess.run(
        [sys.executable, '-m', 'wasabiturn', 'control', str(settings)],
        capture_output=True,
        text=True,
        check=False,
    )
    return ended.returncode, ended.stderr


def test_port_in_use(tmp_path: Path, port: int) -> None:
    status, errors = run(tmp_path, port, tmp_path / 'data')
    assert status == 1
    assert len(errors.splitlines()) == 1
    assert f'cannot listen on 127.0.0.1:{port}' in errors


def test_data_folder_that_cannot_be_made(tmp_path: Path) -> None:
    (tmp_path / 'file').write_text('')
    status, errors = run(tmp_path, free_port(), tmp_path / 'file' / 'data')
    assert status == 1
    assert len(errors.splitlines()) == 1
    assert 'cannot create' in errors


def test_damaged_log(tmp_path: Path) -> None:
    folder = tmp_path / 'data'
    folder.mkdir()
    (folder / 'identity').write_bytes(b'damaged')
    status, errors = run(tmp_path, free_port(), folder)
    assert status == 1
    assert len(errors.splitlines()) == 1
    assert 'identity is damaged; restore the disk' in errors

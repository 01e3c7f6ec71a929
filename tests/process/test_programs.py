"""Start and stop of each program as a separate process."""

import configparser
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from benchmarks.soak.fleet import Fleet, FleetSize, create_fleet

START_TIMEOUT_SECONDS = 30


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    created = create_fleet(tmp_path, FleetSize())
    yield created
    created.kill()


def run_program(command: str, settings: Path) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, '-m', 'wasabiturn', command, str(settings)],
        capture_output=True,
        text=True,
        check=False,
        timeout=START_TIMEOUT_SECONDS,
    )


@pytest.mark.parametrize('command', ['control', 'entry', 'agent'])
def test_wrong_settings_exit_with_status_2(
    tmp_path: Path,
    command: str,
) -> None:
    settings = tmp_path / 'wrong.ini'
    settings.write_text('[instance]\nname = a\n')
    completed = run_program(command, settings)
    assert completed.returncode == 2
    assert (
        f'{settings}: [instance] data_centre: required key is missing'
        in completed.stderr
    )


@pytest.mark.parametrize('command', ['control', 'entry', 'agent'])
def test_occupied_port_is_reported_on_one_line(
    fleet: Fleet, command: str
) -> None:
    endpoint = fleet.endpoint(f'{command}-1')
    with socket.socket() as listener:
        listener.bind((endpoint.host, endpoint.port))
        listener.listen()
        completed = run_program(command, fleet.folder / f'{command}-1.ini')
    assert completed.returncode == 1
    lines = completed.stderr.strip().splitlines()
    assert len(lines) == 1
    assert f'cannot listen on {endpoint}' in lines[0]


def test_unwritable_data_folder_is_reported_on_one_line(
    fleet: Fleet,
) -> None:
    (fleet.folder / 'data').write_text('a file where the folder should be')
    completed = run_program('control', fleet.folder / 'control-1.ini')
    assert completed.returncode == 1
    lines = completed.stderr.strip().splitlines()
    assert len(lines) == 1
    assert str(fleet.folder / 'data') in lines[0]


@pytest.mark.parametrize('command', ['control', 'entry', 'agent'])
def test_sigterm_stops_with_status_0_without_peers(
    fleet: Fleet,
    command: str,
) -> None:
    name = f'{command}-1'
    add_unreachable_statsd(fleet.folder / f'{name}.ini')
    program = fleet.programs_by_name[name]
    program.start()
    log = fleet.folder / f'{name}.log'
    wait_for_text(log, 'process: started')
    assert log.read_text().count('statsd cannot be reached') == 1
    program.terminate()
    assert program.wait() == 0


def add_unreachable_statsd(settings: Path) -> None:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(settings)
    parser['metrics'] = {'statsd': '127.0.0.1:9'}
    with settings.open('w') as stream:
        parser.write(stream)


def wait_for_text(log: Path, text: str) -> None:
    import time

    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if log.exists() and text in log.read_text():
            return
        time.sleep(0.05)
    raise AssertionError(f'{text!r} is not in {log}')

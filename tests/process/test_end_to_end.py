"""End-to-end test of separate processes while the leader is killed."""

import hashlib
import json
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from benchmarks.soak.fleet import SERVICE, Fleet, FleetSize, create_fleet

TIMEOUT_SECONDS = 60
JOB = {
    'kind': 'jobs',
    'name': 'plots',
    'spec': {
        'tasks': 2,
        'size': {'cores': 1, 'memory_mb': 100},
        'run_seconds': 1,
        'idempotent': True,
    },
}


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    created = create_fleet(tmp_path, FleetSize())
    created.start()
    yield created
    created.kill()


def run_command(fleet: Fleet, *arguments: str, stdin: str = '') -> Any:
    servers = ','.join(
        str(fleet.endpoint(f'control-{number}-api')) for number in (1, 2, 3)
    )
    return subprocess.run(
        [sys.executable, '-m', 'wasabiturn', *arguments, '--server', servers],
        input=stdin,
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_SECONDS,
    )


def read_items(fleet: Fleet, *arguments: str) -> list[Any]:
    completed = run_command(fleet, 'get', *arguments, '--output', 'json')
    assert completed.returncode == 0, completed.stderr
    return [json.loads(line) for line in completed.stdout.splitlines()]


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, 'timed out waiting for a condition'
        time.sleep(0.2)


def send(fleet: Fleet, entry: str, body: bytes) -> Any:
    url = f'http://{fleet.endpoint(entry)}/{SERVICE}/quotes/1?a=b'
    request = urllib.request.Request(url, data=body, method='POST')
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.load(response)


def is_served(fleet: Fleet, entry: str) -> bool:
    try:
        send(fleet, entry, b'probe')
    except OSError:
        return False
    return True


def test_whole_path_survives_a_kill_of_the_leader(fleet: Fleet) -> None:
    wait_until(lambda: is_served(fleet, 'entry-1'))
    body = bytes(range(256)) * 1000
    answer = send(fleet, 'entry-1', body)
    assert answer['uri'] == '/quotes/1?a=b'
    assert answer['length'] == len(body)
    assert answer['digest'] == hashlib.sha256(body).hexdigest()

    applied = run_command(fleet, 'apply', '-', stdin=json.dumps(JOB))
    assert applied.returncode == 0, applied.stderr
    before = read_items(fleet, 'jobs', 'plots')
    status = json.loads(run_command(fleet, 'status', '-o', 'json').stdout)
    leader = status['control']['leader']
    fleet.programs_by_name[leader].kill()

    assert read_items(fleet, 'jobs', 'plots') == before
    wait_until(
        lambda: all(
            task['spec']['state'] == 'finished'
            for task in read_items(fleet, 'tasks')
        ),
    )
    assert len(read_items(fleet, 'tasks')) == 2
    assert send(fleet, 'entry-2', body)['length'] == len(body)
    fleet.programs_by_name[leader].start()
    wait_until(
        lambda: '"follower"' in (fleet.folder / f'{leader}.log').read_text()
    )
    assert fleet.stop() == []

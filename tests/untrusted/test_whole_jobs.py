"""Clients that fill the control group with whole jobs.

What is stored of them is bounded by the memory and disk in the settings of the
smallest member. Each test guards against a member that ends, exceeds either,
or loses what was accepted, and against a group that refuses everybody else.
"""

import json
import os
import time
from contextlib import ExitStack
from http import HTTPStatus

import pytest

from tests.untrusted import jobs, programs
from tests.untrusted.programs import PORTS, Group, Running

pytestmark = pytest.mark.timeout(240)

# Lower than any instance's, so that a small crowd shows the fault.
MEMORY_MB = 128
DISK_MB = 32
BYTES_PER_MB = 1_000_000


@pytest.fixture
def small_group(
    tmp_path_factory: pytest.TempPathFactory, stack: ExitStack
) -> Group:
    folder = tmp_path_factory.mktemp('jobs')
    group = programs.start_group(folder, MEMORY_MB, DISK_MB)
    stack.callback(group.kill)
    return group


@pytest.fixture
def small_entry(small_group: Group) -> Running:
    entry = small_group.start(
        'entry',
        programs.ENTRY_NUMBER,
        memory_mb=programs.ENTRY_MEMORY_MB,
        has_disk=False,
    )
    body = json.dumps(jobs.create_two_queues(1)).encode()
    programs.send_until_ok(
        entry.address,
        PORTS.control,
        programs.encode_post('/api/Config.Put', body),
    )
    return entry


def observe_all(group: Group) -> None:
    for running in group.running:
        running.observe()


def assert_within_limits(group: Group) -> None:
    for running in group.running:
        running.settle()
    observe_all(group)
    for running in group.running:
        assert running.program.is_running()
        is_member = running.data_folder is not None
        memory_mb = MEMORY_MB if is_member else programs.ENTRY_MEMORY_MB
        assert running.peak_memory_mb() < memory_mb
        assert running.peak_disk_bytes < DISK_MB * BYTES_PER_MB
        assert running.peak_descriptors < programs.MAX_FDS


def ask_until(
    queue: jobs.Queue,
    method: str,
    job_id: str,
    wanted: HTTPStatus,
    body: bytes = b'',
) -> None:
    status = None
    until = time.monotonic() + programs.ANSWER_SECONDS
    while status != wanted and time.monotonic() < until:
        response = queue.send(method, job_id, body)
        status = None if response is None else response.status
    assert status == wanted


def fill(group: Group, entry: Running, count: int, body: bytes) -> jobs.Crowd:
    crowd = jobs.Crowd(jobs.Queue(entry.address))
    crowd.submit(count, body, lambda: observe_all(group))
    return crowd


def assert_serves_others(entry: Running) -> None:
    """An ordinary job of another queue is accepted, read and cancelled."""
    other = jobs.Queue(entry.address, jobs.OTHER_HOST, jobs.OTHER_PREFIX)
    job_id = os.urandom(8).hex()
    ask_until(other, 'POST', job_id, HTTPStatus.OK, jobs.create_job())
    ask_until(other, 'GET', job_id, HTTPStatus.OK)
    ask_until(other, 'DELETE', job_id, HTTPStatus.OK)


def assert_keeps(crowd: jobs.Crowd) -> None:
    """What was accepted is known, and those refused heard when to return."""
    assert crowd.refused_without_time == 0
    for job_id in crowd.accepted_ids[:: max(len(crowd.accepted_ids) // 20, 1)]:
        ask_until(crowd.queue, 'GET', job_id, HTTPStatus.OK)


@pytest.mark.parametrize(
    ('count', 'body'),
    [
        pytest.param(300, jobs.create_job('x' * 250_000), id='long_texts'),
        pytest.param(
            3000, jobs.create_job('x' * jobs.SPEC_BYTES), id='allowed_texts'
        ),
        pytest.param(
            3000,
            # One such character makes each take four bytes once decoded.
            jobs.create_job('x' * (jobs.SPEC_BYTES - 4) + '\N{GRINNING FACE}'),
            id='wide_texts',
        ),
        pytest.param(400, jobs.create_job(count=240), id='many_tasks'),
        pytest.param(400, jobs.create_periodic_job(240), id='many_occurrences'),
        pytest.param(60, jobs.create_job(steps=1500), id='many_steps'),
        pytest.param(
            300, jobs.create_job(image='i' * 250_000), id='long_names'
        ),
    ],
)
def test_many_jobs(
    small_group: Group, small_entry: Running, count: int, body: bytes
) -> None:
    crowd = fill(small_group, small_entry, count, body)
    assert_within_limits(small_group)
    assert_serves_others(small_entry)
    assert_keeps(crowd)


def test_the_largest_state_is_sent_handed_over_and_read_again(
    small_group: Group, small_entry: Running
) -> None:
    """A start that reads more than fits would never come back.

    A member that lags gets a snapshot, which both hold beside the state; a
    leader that stands still is followed by another one.
    """
    members = small_group.running[: programs.GROUP_SIZE]
    members[0].program.kill()
    body = jobs.create_job('x' * jobs.SPEC_BYTES)
    crowd = fill(small_group, small_entry, 3000, body)
    members[0].program.start()
    first_id = crowd.accepted_ids[0]
    for member in members:
        ask_until(crowd.queue, 'GET', first_id, HTTPStatus.OK)
        member.program.freeze()
        ask_until(crowd.queue, 'GET', first_id, HTTPStatus.OK)
        member.program.thaw()
    assert_within_limits(small_group)
    for member in members:
        member.program.kill()
    for member in members:
        member.program.start()
    ask_until(crowd.queue, 'GET', first_id, HTTPStatus.OK)
    assert_within_limits(small_group)
    assert_serves_others(small_entry)
    assert_keeps(crowd)

"""Soak of the platform's programs: a short seeded run, and its checks."""

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import attrs
import pytest

from benchmarks.platform_soak import checks
from benchmarks.platform_soak.callers import Job
from benchmarks.platform_soak.faults import FaultKind
from benchmarks.platform_soak.idle import MAX_IDLE_SECONDS, IdleWatch
from benchmarks.platform_soak.journal import (
    ACKNOWLEDGED,
    BEGIN,
    END,
    STARVED,
    CallEvent,
    FaultEvent,
    Journal,
    RunEvent,
)
from benchmarks.soak.checker import Report

TASK = '00000000000000aa.0.0.0'
JOB = TASK.partition('.')[0]


@pytest.mark.timeout(240)
def test_short_platform_soak_breaks_no_promise(tmp_path: Path) -> None:
    """The seeds are instances without a disk, as a first start may have."""
    completed = subprocess.run(
        [
            sys.executable,
            '-m',
            'benchmarks.platform_soak',
            *('--seconds', '12', '--seed', '3', '--folder', str(tmp_path)),
            *('--diskless', '3', '--workers', '4'),
            *('--memory', '128', '--disk', '32'),
        ],
        capture_output=True,
        text=True,
        check=False,
        timeout=220,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    counts = json.loads(completed.stdout)
    assert counts['an accepted job is done: checked'] > 0
    assert counts['no task twice at once: checked'] > 0


def run_event(at: float, what: str, worker: str, run: int = 1) -> RunEvent:
    ending = '' if what == BEGIN else 'done'
    return RunEvent(at, what, worker, TASK, run, ending)


def check_runs(*events: RunEvent) -> list[str]:
    report = Report()
    checks.check_runs(report, events)
    return report.violations


def test_a_task_that_runs_twice_at_once_is_found() -> None:
    events = [
        run_event(1, BEGIN, 'worker-1'),
        run_event(2, BEGIN, 'worker-2', run=2),
        run_event(3, END, 'worker-1'),
    ]
    assert len(check_runs(*events)) == 1
    events[1], events[2] = events[2], events[1]
    assert not check_runs(*events)


def test_a_start_after_a_done_end_is_found() -> None:
    events = [
        run_event(1, BEGIN, 'worker-1'),
        run_event(2, END, 'worker-1'),
        run_event(3, ACKNOWLEDGED, 'worker-1'),
        run_event(4, BEGIN, 'worker-2', run=2),
    ]
    assert len(check_runs(*events)) == 1
    del events[2]
    assert not check_runs(*events)


def create_job(**fields: Any) -> Job:
    job = Job(JOB, [1], 1600, accepted_at=1, is_rejected=False)
    for name, content in fields.items():
        setattr(job, name, content)
    return job


def check_job(job: Job, *events: RunEvent) -> list[str]:
    report = Report()
    checks.check_jobs(report, [job], events)
    return report.violations


RUN = (run_event(2, BEGIN, 'worker-1'), run_event(4, END, 'worker-1'))


@pytest.mark.parametrize(
    ('fields', 'events'),
    [
        ({'state': 'running'}, RUN),
        ({'state': 'failed', 'final_at': 5}, RUN),
        ({'state': 'done', 'final_at': 3}, RUN),
        ({'state': 'done', 'final_at': 5, 'gone_at': 2}, RUN),
        (
            {'state': 'done', 'final_at': 5},
            (*RUN, run_event(9, BEGIN, 'worker-2', run=2)),
        ),
        ({'accepted_at': None, 'is_rejected': True}, RUN),
    ],
    ids=['open', 'failed', 'early', 'gone', 'started again', 'rejected'],
)
def test_a_job_that_is_not_kept_is_found(
    fields: dict[str, Any], events: tuple[RunEvent, ...]
) -> None:
    assert check_job(create_job(**fields), *events)
    assert not check_job(create_job(state='done', final_at=5), *RUN)


def create_journal(tmp_path: Path, clock: Callable[[], float]) -> Journal:
    return Journal(tmp_path / 'journal.jsonl', now=clock)


@pytest.mark.parametrize(
    ('fault', 'is_found'),
    [
        (None, True),
        (FaultEvent(0, FaultKind.freeze.value, 'entry-1', 4), False),
        (FaultEvent(0, FaultKind.kill.value, 'entry-1', 1), False),
        (FaultEvent(-30, FaultKind.kill.value, 'entry-1', 1), True),
        (FaultEvent(0, FaultKind.freeze.value, 'entry-2', 4), True),
        (FaultEvent(9, FaultKind.restart.value, 'entry-1', 1), True),
        (FaultEvent(7, FaultKind.restart.value, 'entry-1', 1), False),
    ],
    ids=[
        'calm',
        'frozen',
        'starting',
        'not started in time',
        'other entry',
        'while it drains',
        'when it ends',
    ],
)
def test_a_call_that_a_sound_entry_leaves_is_found(
    tmp_path: Path, fault: FaultEvent | None, is_found: bool
) -> None:
    journal = create_journal(tmp_path, lambda: 0)
    sent_at = 5.0 if fault and fault.at == 0 else 10.0
    call = CallEvent(sent_at, sent_at + 3, 'entry-1', 'GET', JOB, status=0)
    journal.add_call(call)
    if fault is not None:
        journal.add_fault(fault)
    report = Report()
    checks.check_calls(report, journal)
    assert bool(report.violations) is is_found


@attrs.define
class Looks:
    """Watch that looks at one job on a clock of the test."""

    watch: IdleWatch
    running: dict[str, int]
    now: float = 0

    def look(self, seconds: float) -> None:
        for _ in range(round(seconds * 4)):
            self.now += 0.25
            self.watch.look([create_job()])


def create_looks(tmp_path: Path) -> Looks:
    running: dict[str, int] = {}
    standin = SimpleNamespace(runs_by_task=running)
    worker: Any = SimpleNamespace(is_up=True, standin=standin)
    journal = create_journal(tmp_path, lambda: looks.now)
    looks = Looks(IdleWatch(journal, [worker]), running)
    return looks


def test_a_job_that_is_idle_beside_room_is_found(tmp_path: Path) -> None:
    looks = create_looks(tmp_path)
    looks.look(MAX_IDLE_SECONDS)
    assert not looks.watch.find_violations()
    looks.look(1)
    assert len(looks.watch.find_violations()) == 1


@pytest.mark.parametrize(('at', 'is_found'), [(1, False), (5, True)])
def test_a_job_that_the_machine_held_up_is_not_idle(
    tmp_path: Path, at: float, is_found: bool
) -> None:
    looks = create_looks(tmp_path)
    looks.look(2 * MAX_IDLE_SECONDS)
    fault = FaultEvent(at, STARVED, 'control-1', 1)
    looks.watch.journal.add_fault(fault)
    assert bool(looks.watch.find_violations()) is is_found


@pytest.mark.parametrize('has_room', [True, False])
def test_a_job_at_work_or_without_room_is_not_idle(
    tmp_path: Path, has_room: bool
) -> None:
    looks = create_looks(tmp_path)
    looks.running.update(
        {TASK: 1}
        if has_room
        else {f'00000000000000bb.0.0.{index}': 1 for index in range(7)}
    )
    looks.look(2 * MAX_IDLE_SECONDS)
    assert not looks.watch.find_violations()

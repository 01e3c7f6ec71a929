"""Tests of what the leader knows of the runs of a job."""

from typing import NoReturn

import attrs

from tests.batch.jobs_fakes import (
    accept,
    create_batch_state,
    create_fleet,
    create_worker,
    end,
    start,
    step,
)
from wasabiturn.batch import (
    BatchState,
    apply_batch_change,
    dump_batch_state,
    load_batch_state,
)
from wasabiturn.batch.fleet import Allocation
from wasabiturn.batch.queueing.progress import (
    FIRST_REPORTS_SECONDS,
    MAX_IDLE_SECONDS,
    START_ANSWER_SECONDS,
    idle_seconds,
    record_end,
    restore_idle_times,
)
from wasabiturn.batch.reports import apply_report
from wasabiturn.batch.state.clock import StateClock
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import BatchChange, EndedRow
from wasabiturn.messages.kinds import RunEnding

TASK = 'j.0.0.0'


class Case:
    """A job of two tasks, of which one was started on a worker at 0."""

    def __init__(self) -> None:
        self.batch_state = create_batch_state(accept('j', step(2)))
        self.worker = create_worker('w')
        self.fleet = create_fleet(self.worker)
        self.batch_state.on_start = lambda task: self.worker.allocate(task, 0)
        self.batch_state.on_end = self.worker.release
        self.read(0)
        apply_batch_change(self.batch_state, start(TASK))

    @property
    def run(self) -> Allocation:
        return self.worker.allocations_by_task[TASK]

    def list_at(self, now: float) -> None:
        self.worker.heard_at = self.worker.listed_at = now
        self.run.confirm(now)

    def read(self, now: float) -> float:
        job = self.batch_state.jobs_by_id['j']
        return idle_seconds(self.fleet, job, now)


def test_job_with_a_run_that_is_listed_is_not_idle() -> None:
    case = Case()
    for now in range(1, 10):
        case.list_at(now)
        assert case.read(now + 0.9) == 0


def test_run_of_a_silent_worker_does_not_keep_its_job_from_being_idle() -> None:
    case = Case()
    case.list_at(5)
    assert case.read(7.5) == 2.5


def test_agent_that_cannot_list_runs_does_not_tell_that_they_work() -> None:
    case = Case()
    case.list_at(5)
    case.worker.heard_at = 8
    assert case.read(8) == 3


def test_order_without_an_answer_counts_for_a_moment_only() -> None:
    case = Case()
    assert case.read(START_ANSWER_SECONDS - 0.1) == 0
    assert case.read(START_ANSWER_SECONDS + 1) == START_ANSWER_SECONDS + 1


def test_run_that_is_to_stop_or_is_held_for_lost_does_not_count() -> None:
    for name in ('is_gone', 'is_superseded'):
        case = Case()
        case.list_at(5)
        setattr(case.worker, name, True)
        case.worker.listed_at = 8
        assert case.read(8) == 8
    case = Case()
    case.list_at(5)
    case.run.is_stop_requested = True
    case.worker.listed_at = 8
    assert case.read(8) == 8


def test_second_run_is_found_when_the_known_one_falls_silent() -> None:
    case = Case()
    case.list_at(5)
    other = create_worker('v')
    case.fleet.workers_by_incarnation['v', 1] = other
    case.batch_state.on_start = lambda task: other.allocate(task, 5)
    apply_batch_change(case.batch_state, start('j.0.0.1', worker='v'))
    assert case.read(5) == 0
    other.allocations_by_task['j.0.0.1'].confirm(9)
    assert case.read(9.5) == 0


def test_job_is_idle_since_its_lost_run_was_last_listed() -> None:
    case = Case()
    case.list_at(5)
    worker, run = case.worker, case.run
    worker.heard_at = 6
    apply_batch_change(case.batch_state, end(TASK, ending=RunEnding.lost))
    record_end(case.fleet, worker, run)
    assert case.read(12) == 7


class Unread(dict[str, Task]):
    """Tasks that must not be gone through."""

    def values(self) -> NoReturn:
        raise AssertionError('all tasks of a job were gone through')


def test_look_at_an_idle_job_does_not_go_through_its_waiting_tasks() -> None:
    case = Case()
    job = case.batch_state.jobs_by_id['j']
    job.tasks_by_name = Unread(job.tasks_by_name)
    assert case.read(START_ANSWER_SECONDS + 1) > 0


def restore(*changes: BatchChange) -> float:
    """Return the idle time of `j` for a leader that begins at 100 s.

    Its clock of the state reads 60 s then.
    """
    batch_state = BatchState()
    for change in changes:
        apply_batch_change(batch_state, change)
    batch_state = load_batch_state(dump_batch_state(batch_state))
    fleet = create_fleet()
    clock = StateClock(noted_at=100, elapsed_ms=60_000)
    restore_idle_times(fleet, batch_state, clock, now=100)
    return idle_seconds(fleet, batch_state.jobs_by_id['j'], 100)


def at(clock_ms: int, change: BatchChange) -> BatchChange:
    return attrs.evolve(change, clock_ms=clock_ms)


def test_idle_time_is_kept_for_the_next_leader() -> None:
    accepted = at(59_000, accept('j', step(2)))
    assert restore(accepted) == 1
    early = at(1000, accept('j', step(2)))
    ended = at(59_500, end(TASK))
    assert restore(early, start(TASK), ended) == 0.5


def test_job_is_not_idle_for_a_new_leader_before_workers_have_reported() -> (
    None
):
    early = at(1000, accept('j', step(2)))
    assert restore(early) == MAX_IDLE_SECONDS - FIRST_REPORTS_SECONDS
    lost = at(59_900, end(TASK, ending=RunEnding.lost))
    known = MAX_IDLE_SECONDS - FIRST_REPORTS_SECONDS
    assert restore(early, start(TASK), lost) == known


def test_time_of_a_leader_of_an_earlier_version_is_not_known() -> None:
    assert restore(accept('j', step(2))) == 0


def test_run_that_ended_before_its_first_report_has_worked() -> None:
    case = Case()
    ended = EndedRow(number=1, task=TASK, run=1, ending=RunEnding.done)
    report = attrs.evolve(case.worker.report, ended=[ended])
    run = case.run
    assert apply_report(case.worker, report, now=9)
    record_end(case.fleet, case.worker, run)
    assert case.read(9.5) == 0.5

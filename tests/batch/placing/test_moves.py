"""Tests of moves of stalled runs, and of the places reserved for them."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.batch.jobs_fakes import (
    ACCEPTED_MS,
    accept,
    create_batch_state,
    create_fleet,
    create_worker,
    end,
    start,
    step,
)
from tests.batch.test_decisions import plan
from wasabiturn.batch import apply_batch_change
from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.placing.interference import Interference
from wasabiturn.batch.placing.moves import (
    PLACE_SECONDS,
    PlannedMove,
    reserve_place,
)
from wasabiturn.batch.planning import plan_moves
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.queueing.progress import record_end
from wasabiturn.messages.kinds import RunEnding

TASK = 'j.0.0.0'
FILLS: dict[str, Any] = {
    'fills': True,
    'image': 'f',
    'memory_mb': 6000,
    'checkpoints': True,
}
# Times: the run starts at 0 and stalls from then on.
MOVED_AT = 2.0


class Case:
    """A job whose run stalls on the worker `a`, beside a free worker `b`."""

    def __init__(self, tasks: int = 1, **fields: Any) -> None:
        self.batch_state = create_batch_state(
            accept('j', step(tasks, **(FILLS | fields)))
        )
        self.a, self.b = create_worker('a'), create_worker('b')
        self.fleet = create_fleet(self.a, self.b)
        self.batch_state.on_start = self._allocate
        self.batch_state.on_end = self._release
        apply_batch_change(self.batch_state, start(TASK, worker='a'))
        self.a.allocations_by_task[TASK].confirm(0)
        self.a.allocations_by_task[TASK].settle_orders()
        self.a.stalled_at_by_image['f'] = 0
        # It takes no other work.
        self.a.report.leaving = True
        self.hear(MOVED_AT)

    def _allocate(self, task: Any) -> None:
        worker = self.fleet.worker_of(task)
        assert worker is not None
        worker.allocate(task, 0)

    def _release(self, task: Any) -> None:
        allocation = self.a.release(task)
        if allocation is not None:
            record_end(self.fleet, self.a, allocation)

    def hear(self, now: float, *workers: Worker) -> None:
        for worker in workers or (self.a, self.b):
            worker.heard_at = worker.listed_at = now

    def find_moves(self) -> list[PlannedMove]:
        forecasts = Forecasts(Interference())
        return list(
            plan_moves(self.batch_state, self.fleet, forecasts, MOVED_AT)
        )

    def move(self) -> None:
        (planned,) = self.find_moves()
        reserve_place(self.fleet, planned, MOVED_AT)
        planned.allocation.is_stop_requested = True

    def submit(self, job_id: str, **fields: Any) -> None:
        # Smaller work is started first.
        sizes = {'memory_mb': 6000, 'estimate_ms': 1}
        apply_batch_change(
            self.batch_state, accept(job_id, step(1, **(sizes | fields)))
        )

    def end_run(self, now: float) -> None:
        self.hear(now)
        apply_batch_change(
            self.batch_state, end(TASK, ending=RunEnding.stopped)
        )

    def plan_at(self, now: float) -> dict[str, str]:
        allocate = self.batch_state.on_start
        moment = Moment(now=now, wall_ms=ACCEPTED_MS)
        placed = plan(self.batch_state, self.fleet, moment)
        self.batch_state.on_start = allocate
        return placed


def test_place_of_a_moved_run_is_kept_from_other_tasks() -> None:
    case = Case()
    case.move()
    case.submit('k')
    case.submit('l', fills=True, image='g')
    assert not case.plan_at(MOVED_AT)
    case.end_run(MOVED_AT + 0.5)
    assert case.plan_at(MOVED_AT + 0.5) == {TASK: 'b'}
    assert not case.fleet.moves_by_task
    assert not case.b.reserved_steps


def test_place_of_a_moved_run_is_kept_from_gangs() -> None:
    case = Case()
    case.move()
    case.submit('k', fills=True, image='g', gang=True)
    assert not case.plan_at(MOVED_AT)
    case.end_run(MOVED_AT + 0.5)
    assert case.plan_at(MOVED_AT + 0.5) == {TASK: 'b'}


def test_lasting_task_takes_the_place_of_a_moved_run() -> None:
    case = Case()
    case.move()
    case.submit('k', lasting=True, image='s')
    assert case.plan_at(MOVED_AT) == {'k.0.0.0': 'b'}
    assert not case.plan_at(MOVED_AT + 0.1)
    assert not case.b.reserved_steps


def fall_silent(case: Case) -> None:
    case.hear(MOVED_AT + 1.4, case.a)


def leave(case: Case) -> None:
    case.hear(MOVED_AT + 1.4)
    case.b.report.leaving = True


def shrink(case: Case) -> None:
    case.hear(MOVED_AT + 1.4)
    case.b.report.memory_mb = 5000


@pytest.mark.parametrize('lose_place', [fall_silent, leave, shrink])
def test_place_at_a_worker_that_cannot_start_the_task_is_released(
    lose_place: Callable[[Case], None],
) -> None:
    case = Case()
    case.move()
    lose_place(case)
    assert not case.plan_at(MOVED_AT + 1.4)
    assert not case.b.reserved_steps


def test_place_is_released_if_the_run_does_not_end() -> None:
    case = Case()
    case.move()
    case.submit('k')
    late = MOVED_AT + PLACE_SECONDS
    case.hear(late)
    assert case.plan_at(late) == {'k.0.0.0': 'b'}


def test_job_whose_only_run_lost_its_place_starts_at_any_worker_at_once() -> (
    None
):
    case = Case(memory_mb=100, millicores=10_000)
    case.move()
    case.b.report.leaving = True
    assert not case.plan_at(MOVED_AT)
    # `c` is in full use by another job.
    other = create_worker('c')
    case.fleet.workers_by_incarnation['c', 1] = other
    apply_batch_change(
        case.batch_state, accept('k', step(1, fills=True, millicores=10_000))
    )
    apply_batch_change(case.batch_state, start('k.0.0.0', worker='c'))
    case.end_run(MOVED_AT + 0.5)
    case.hear(MOVED_AT + 0.5, other)
    assert case.plan_at(MOVED_AT + 0.5) == {TASK: 'c'}


def test_moved_task_that_lost_its_place_waits_beside_other_runs() -> None:
    case = Case(tasks=2, memory_mb=100, millicores=10_000)
    other = create_worker('c')
    case.fleet.workers_by_incarnation['c', 1] = other
    apply_batch_change(case.batch_state, start('j.0.0.1', worker='c'))
    other.allocations_by_task['j.0.0.1'].confirm(0)
    case.move()
    case.b.report.leaving = True
    case.end_run(MOVED_AT + 0.5)
    case.hear(MOVED_AT + 0.5, other)
    assert not case.plan_at(MOVED_AT + 0.5)


def test_run_does_not_move_to_a_worker_whose_report_is_overdue() -> None:
    case = Case()
    case.b.heard_at = MOVED_AT - 1.4
    assert not case.find_moves()
    case.b.heard_at = MOVED_AT - 1.2
    assert case.find_moves()


def test_member_of_a_gang_does_not_move_alone() -> None:
    assert not Case(tasks=1, gang=True).find_moves()
    assert Case().find_moves()

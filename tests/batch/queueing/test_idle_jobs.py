"""Tests of the starts of jobs that run nothing."""

from typing import Any

import pytest

from tests.batch.jobs_fakes import (
    ACCEPTED_MS,
    accept,
    create_batch_state,
    create_fleet,
    create_worker,
    start,
    step,
)
from tests.batch.test_decisions import plan
from wasabiturn.batch import apply_batch_change
from wasabiturn.batch.fleet import Allocation
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.queueing.progress import MAX_IDLE_SECONDS

FULL = step(3, fills=True, image='f', millicores=10_000)
FIRST = 'j.0.0.0'


class Case:
    """A job with one run on the worker `a` beside a worker in full use."""

    def __init__(self) -> None:
        self.batch_state = create_batch_state(
            accept('j', FULL), accept('k', FULL)
        )
        self.a, self.b = create_worker('a'), create_worker('b')
        self.fleet = create_fleet(self.a, self.b)
        self.batch_state.on_start = self._allocate
        for change in (start(FIRST, worker='a'), start('k.0.0.0', worker='b')):
            apply_batch_change(self.batch_state, change)
        self.b.allocations_by_task['k.0.0.0'].confirm(0)

    @property
    def run(self) -> Allocation:
        return self.a.allocations_by_task[FIRST]

    def _allocate(self, task: object) -> None:
        worker = self.fleet.worker_of(task)  # type: ignore[arg-type]
        assert worker is not None
        worker.allocate(task, 0)  # type: ignore[arg-type]

    def plan_at(self, now: float, *, a_lists: bool) -> list[str]:
        """Return the tasks of `j` that start at `now`; `b` lists its runs."""
        listing = [self.b, self.a] if a_lists else [self.b]
        for worker in listing:
            worker.heard_at = worker.listed_at = now
        moment = Moment(now=now, wall_ms=ACCEPTED_MS)
        return [
            name
            for name in plan(self.batch_state, self.fleet, moment)
            if name.startswith('j.')
        ]


def test_run_of_a_silent_worker_does_not_keep_its_job_waiting() -> None:
    case = Case()
    case.run.confirm(0)
    assert not case.plan_at(1, a_lists=True)
    assert not case.plan_at(1 + MAX_IDLE_SECONDS - 0.1, a_lists=False)
    assert len(case.plan_at(1 + MAX_IDLE_SECONDS, a_lists=False)) == 1


def test_order_without_an_answer_does_not_keep_its_job_waiting() -> None:
    case = Case()
    assert not case.plan_at(0, a_lists=True)
    assert len(case.plan_at(MAX_IDLE_SECONDS, a_lists=True)) == 1


@pytest.mark.parametrize('name', ['is_gone', 'is_superseded'])
def test_run_that_was_given_up_does_not_keep_its_job_waiting(name: str) -> None:
    case = Case()
    case.run.confirm(0)
    assert not case.plan_at(1, a_lists=True)
    setattr(case.a, name, True)
    assert len(case.plan_at(1 + MAX_IDLE_SECONDS, a_lists=True)) == 1


def test_run_that_is_known_to_work_keeps_others_from_workers_in_use() -> None:
    case = Case()
    case.run.confirm(0)
    for now in range(10):
        assert not case.plan_at(now, a_lists=True)


def test_idle_job_starts_no_more_while_an_order_is_on_its_way() -> None:
    case = Case()
    case.plan_at(0, a_lists=True)
    assert len(case.plan_at(MAX_IDLE_SECONDS, a_lists=True)) == 1
    for allocation in case.b.allocations_by_task.values():
        allocation.started_at = MAX_IDLE_SECONDS
    assert not case.plan_at(MAX_IDLE_SECONDS + 1, a_lists=True)


@pytest.mark.parametrize(
    'fields', [{}, {'fills': True, 'image': 'f'}, {'preferred_rack': 'r1'}]
)
def test_ordinary_task_starts_on_no_machine_that_may_be_lost(
    fields: dict[str, Any],
) -> None:
    batch_state = create_batch_state(accept('j', step(2, **fields)))
    late = create_worker('a')
    # It fits best, and is on the preferred rack.
    fresh = create_worker('b', rack='r2', millicores=12_000)
    late.heard_at, fresh.heard_at = 0, 1
    moment = Moment(now=1.4, wall_ms=ACCEPTED_MS)
    placed = plan(batch_state, create_fleet(late, fresh), moment)
    assert set(placed.values()) == {'b'}


def test_ordinary_task_starts_on_a_machine_with_a_late_report_if_need_be() -> (
    None
):
    batch_state = create_batch_state(accept('j', step(1)))
    moment = Moment(now=1.4, wall_ms=ACCEPTED_MS)
    fleet = create_fleet(create_worker('a'))
    assert plan(batch_state, fleet, moment) == {'j.0.0.0': 'a'}

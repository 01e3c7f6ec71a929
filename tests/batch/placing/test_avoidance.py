"""Tests of starts at workers with failures."""

from typing import Any

import pytest

from tests.batch.jobs_fakes import (
    ACCEPTED_MS,
    accept,
    create_batch_state,
    create_fleet,
    create_worker,
    step,
)
from tests.batch.test_decisions import plan
from wasabiturn.batch import BatchState
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.queueing.progress import idle_seconds

AVOIDED_UNTIL = 16.0
IDLE_AT = 2.1


def create_avoided(name: str, **fields: Any) -> Worker:
    """Return a worker that has failed at 0, and reports."""
    worker = create_worker(name, **fields)
    worker.avoided_since = 0
    worker.avoided_until = AVOIDED_UNTIL
    worker.heard_at = IDLE_AT
    return worker


def plan_idle(batch_state: BatchState, fleet: Fleet) -> dict[str, str]:
    """Plan when the jobs begin to wait, and once they are idle."""
    # The leader looks at waiting jobs even while no worker accepts work.
    for job in batch_state.open_jobs_by_id.values():
        idle_seconds(fleet, job, 0)
    for worker in fleet.workers_by_incarnation.values():
        worker.heard_at = IDLE_AT
    assert not plan(batch_state, fleet)
    moment = Moment(now=IDLE_AT, wall_ms=ACCEPTED_MS)
    return plan(batch_state, fleet, moment)


@pytest.mark.parametrize('fields', [{}, {'fills': True, 'image': 'f'}])
def test_idle_job_does_not_wait_for_workers_that_are_all_avoided(
    fields: dict[str, Any],
) -> None:
    batch_state = create_batch_state(accept('j', step(3, **fields)))
    fleet = create_fleet(create_avoided('a'), create_avoided('b'))
    assert len(plan_idle(batch_state, fleet)) == 1


def test_job_that_runs_something_does_not_start_at_an_avoided_worker() -> None:
    batch_state = create_batch_state(accept('j', step(2, memory_mb=6000)))
    fleet = create_fleet(create_avoided('a'), create_worker('b'))
    assert list(plan(batch_state, fleet).values()) == ['b']
    fleet.workers_by_incarnation['b', 1].heard_at = IDLE_AT
    (run,) = fleet.workers_by_incarnation['b', 1].allocations_by_task.values()
    run.confirm(IDLE_AT)
    assert not plan(batch_state, fleet, Moment(IDLE_AT, ACCEPTED_MS))


def test_last_attempt_of_a_task_is_not_used_up_at_an_avoided_worker() -> None:
    batch_state = create_batch_state(accept('j', step(2), attempts=3))
    for task in batch_state.tasks_by_name.values():
        task.failures = 2
    fleet = create_fleet(create_avoided('a'))
    assert not plan_idle(batch_state, fleet)
    batch_state.tasks_by_name['j.0.0.1'].failures = 1
    later = Moment(now=IDLE_AT + 0.1, wall_ms=ACCEPTED_MS)
    assert list(plan(batch_state, fleet, later)) == ['j.0.0.1']


def test_avoided_worker_gets_one_task_of_idle_jobs_at_a_time() -> None:
    batch_state = create_batch_state(
        *(accept(f'j{number}', step(1)) for number in range(4))
    )
    fleet = create_fleet(create_avoided('a'), create_avoided('b'))
    assert sorted(plan_idle(batch_state, fleet).values()) == ['a', 'b']


def test_gang_and_suspect_do_not_start_at_an_avoided_worker() -> None:
    batch_state = create_batch_state(
        accept('j', step(2, gang=True)), accept('k', step(1))
    )
    batch_state.mark_suspect(batch_state.tasks_by_name['k.0.0.0'])
    assert not plan_idle(batch_state, create_fleet(create_avoided('a')))


def test_held_task_does_not_keep_others_of_its_job_from_an_avoided_worker() -> (
    None
):
    batch_state = create_batch_state(accept('j', step(2)))
    fleet = create_fleet(create_avoided('a'))
    batch_state.tasks_by_name['j.0.0.0'].worker = 'elsewhere'
    fleet.bound_until_by_task['j.0.0.0'] = AVOIDED_UNTIL
    assert list(plan_idle(batch_state, fleet)) == ['j.0.0.1']

"""Tests of gangs that are started in full plans."""

from tests.batch.jobs_fakes import (
    accept,
    create_batch_state,
    create_fleet,
    create_worker,
    step,
)
from tests.batch.test_decisions import plan
from wasabiturn.batch.planning import MAX_STARTS_PER_PLAN
from wasabiturn.messages.batch import Step

SMALL = {'millicores': 1, 'memory_mb': 1}


def gang_of(tasks: int) -> Step:
    return step(tasks, gang=True, **SMALL)


def test_gang_that_reaches_the_limit_of_a_plan_is_not_cut() -> None:
    size = MAX_STARTS_PER_PLAN * 3 // 4
    batch_state = create_batch_state(
        accept('j', gang_of(size)),
        accept('k', gang_of(size)),
        accept('l', gang_of(1)),
    )
    fleet = create_fleet(create_worker('w'), create_worker('v'))
    jobs = {name.partition('.')[0] for name in plan(batch_state, fleet)}
    for job in jobs:
        assert not batch_state.jobs_by_id[job].waiting_tasks
    plan(batch_state, fleet)
    assert not any(job.waiting_tasks for job in batch_state.jobs_by_id.values())


def test_gang_larger_than_a_plan_starts_whole() -> None:
    size = MAX_STARTS_PER_PLAN + 1
    batch_state = create_batch_state(accept('j', gang_of(size)))
    fleet = create_fleet(create_worker('w'))
    assert len(plan(batch_state, fleet)) == size


def test_plan_ends_with_the_gang_that_reaches_its_limit() -> None:
    batch_state = create_batch_state(
        accept('j', gang_of(MAX_STARTS_PER_PLAN)),
        accept('k', gang_of(MAX_STARTS_PER_PLAN)),
        accept('l', step(MAX_STARTS_PER_PLAN * 2, **SMALL)),
    )
    fleet = create_fleet(create_worker('w'))
    for _ in range(4):
        assert len(plan(batch_state, fleet)) == MAX_STARTS_PER_PLAN

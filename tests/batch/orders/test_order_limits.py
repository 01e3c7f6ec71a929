"""Limits of the time in which orders to start a run leave its agent."""

import pytest

from tests.batch.jobs_fakes import (
    accept,
    create_batch_state,
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
from wasabiturn.batch.fleet import Allocation, Worker
from wasabiturn.batch.orders.order_limits import (
    MAX_SEND_MS,
    SEND_MS,
    find_due_limits,
    read_agent_limit,
)
from wasabiturn.messages.batch import BatchChange, MoveLimit
from wasabiturn.messages.kinds import RunEnding

TASK = 'j.0.0.0'
LIMIT_MS = 5000


def create_limited() -> BatchState:
    begun = start(TASK)
    begun.starts[0].order_limit_ms = LIMIT_MS
    return create_batch_state(accept('j', step(1)), begun)


def read_limit(batch_state: BatchState) -> int:
    return batch_state.tasks_by_name[TASK].order_limit_ms


def move(run: int) -> BatchChange:
    return BatchChange(limits=[MoveLimit(TASK, run, LIMIT_MS + 1)])


def test_limit_is_not_lost_in_a_snapshot() -> None:
    dump = dump_batch_state(create_limited())
    assert read_limit(load_batch_state(dump)) == LIMIT_MS


def test_limit_of_an_earlier_run_is_not_moved() -> None:
    batch_state = create_limited()
    apply_batch_change(batch_state, move(run=2))
    assert read_limit(batch_state) == LIMIT_MS
    apply_batch_change(batch_state, move(run=1))
    assert read_limit(batch_state) == LIMIT_MS + 1


def test_next_start_without_a_limit_takes_none_from_the_run_before() -> None:
    batch_state = create_limited()
    apply_batch_change(batch_state, end(TASK, ending=RunEnding.lost))
    apply_batch_change(batch_state, start(TASK, run=2))
    assert read_limit(batch_state) == 0


def test_limits_do_not_outlive_a_leader_that_keeps_none() -> None:
    batch_state = create_limited()
    apply_batch_change(batch_state, BatchChange(keeps_limits=True))
    assert read_limit(batch_state) == LIMIT_MS
    apply_batch_change(batch_state, BatchChange())
    assert read_limit(batch_state) == 0


def create_ordered(limit_at: float) -> tuple[Worker, Allocation]:
    worker = create_worker('w', agent_clock_ms=70_000)
    worker.heard_at = 10.0
    worker.allocate(create_limited().tasks_by_name[TASK], now=10.0)
    allocation = worker.allocations_by_task[TASK]
    allocation.order_limit_at = limit_at
    return worker, allocation


def test_slow_clock_of_an_agent_does_not_exceed_the_limit() -> None:
    worker, allocation = create_ordered(limit_at=12.0)
    limit_ms = read_agent_limit(worker, allocation)
    assert 71_900 < limit_ms < 70_000 + 2000 / 1.03


def test_limit_that_has_passed_is_not_read_as_none() -> None:
    worker, allocation = create_ordered(limit_at=-1000.0)
    assert read_agent_limit(worker, allocation) == 1


@pytest.mark.parametrize(
    ('clock_ms', 'moved_ms'),
    [(LIMIT_MS - 1500, []), (LIMIT_MS - 500, [LIMIT_MS - 500 + SEND_MS])],
)
def test_limit_is_moved_only_when_little_is_left(
    clock_ms: int, moved_ms: list[int]
) -> None:
    worker, allocation = create_ordered(limit_at=12.0)
    due = find_due_limits(worker, [allocation], clock_ms, now=11.0)
    assert [each.order_limit_ms for each in due] == moved_ms


def test_late_commits_do_not_use_up_each_limit() -> None:
    worker, allocation = create_ordered(limit_at=12.0)
    (due,) = find_due_limits(worker, [allocation], LIMIT_MS, now=60.0)
    assert due.order_limit_ms == LIMIT_MS + MAX_SEND_MS

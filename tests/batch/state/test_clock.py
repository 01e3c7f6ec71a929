"""Test that the clock of the state is never ahead of the leader's."""

from tests.batch.jobs_fakes import (
    accept,
    create_batch_state,
    create_fleet,
    start,
    step,
)
from wasabiturn.batch.orders.bindings import restore_bindings
from wasabiturn.batch.state.clock import StateClock
from wasabiturn.messages.batch import BatchChange, EndRun
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.messages.limits import ORDER_LIFETIME_SECONDS

TASK = 'j.0.0.0'


def test_clock_counts_on_from_the_newest_change() -> None:
    clock = StateClock(noted_at=5)
    clock.note(1000, now=10)
    assert clock.read(now=12) == 3000
    clock.note(2500, now=12)
    assert clock.read(now=12) == 2500


def test_clock_does_not_go_back_for_a_change_without_a_time() -> None:
    clock = StateClock(noted_at=0)
    clock.note(1000, now=10)
    clock.note(1000, now=11)
    assert clock.read(now=11) == 2000


def test_time_of_the_state_is_one_of_the_loop() -> None:
    clock = StateClock(noted_at=100, elapsed_ms=7000)
    assert clock.to_loop(9000, now=101) == 102


def create_end(run: int, open_ms: int, clock_ms: int) -> BatchChange:
    end = EndRun(
        task=TASK,
        run=run,
        ending=RunEnding.lost,
        has_open_order=True,
        open_ms=open_ms,
    )
    return BatchChange(ends=[end], clock_ms=clock_ms)


def restore(*changes: BatchChange) -> dict[str, float]:
    """Return until when tasks are bound by a leader that begins at 3 s.

    Its clock of the state reads 60 s then.
    """
    fleet = create_fleet()
    batch_state = create_batch_state(accept('j', step(1)), *changes)
    clock = StateClock(noted_at=3, elapsed_ms=60_000)
    restore_bindings(fleet, batch_state, clock, now=3)
    return fleet.bound_until_by_task


def test_new_leader_binds_a_task_for_what_is_left() -> None:
    end = create_end(run=1, open_ms=5000, clock_ms=58_000)
    assert restore(start(TASK), end) == {TASK: 6}


def test_new_leader_keeps_the_later_of_two_times() -> None:
    first = create_end(run=1, open_ms=14_000, clock_ms=50_000)
    second = create_end(run=2, open_ms=-1000, clock_ms=58_000)
    again = start(TASK, run=2)
    assert restore(start(TASK), first, again, second) == {TASK: 7}


def test_end_of_a_leader_without_a_clock_binds_for_a_whole_lifetime() -> None:
    first = create_end(run=1, open_ms=0, clock_ms=0)
    second = create_end(run=2, open_ms=1000, clock_ms=58_000)
    again = start(TASK, run=2)
    whole = {TASK: 3 + ORDER_LIFETIME_SECONDS}
    assert restore(start(TASK), first) == whole
    assert restore(start(TASK), first, again, second) == whole

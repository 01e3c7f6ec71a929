"""Take-over of the queues by a leader, from the state that is committed."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.batch.jobs_fakes import accept, step
from wasabiturn.batch import (
    BatchState,
    apply_batch_change,
    dump_batch_state,
)
from wasabiturn.ids import LogIndex
from wasabiturn.messages.batch import BatchChange
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process.control.batch import take_over
from wasabiturn.version.replica import AppliedCommand
from wasabiturn.version.state import State, create_state


class TurningClock(Clock):
    """Clock whose calls are made in turns, as those of a loop are."""

    def turn(self) -> None:
        due = [each for each in self.calls if each.getTime() <= self.seconds()]
        for call in due:
            self.calls.remove(call)
            call.called = 1
            call.func(*call.args, **call.kw)


class CommittingReplica:
    """Confirms its state after a moment."""

    def __init__(self, clock: Clock, state: State) -> None:
        self.state = state
        self._clock = clock

    def read_barrier(self) -> Deferred[None]:
        barrier: Deferred[None] = Deferred()
        self._clock.callLater(0.01, barrier.callback, None)
        return barrier


def create_jobs(count: int) -> State:
    state = create_state()
    for number in range(count):
        apply_batch_change(state.batch, accept(f'j{number}', step(3)))
    return state


def begin_copy(
    clock: TurningClock, state: State, copies: list[BatchState]
) -> take_over.TakeOver:
    begun = take_over.TakeOver(
        replica=CommittingReplica(clock, state),  # type: ignore[arg-type]
        clock=clock,
        on_copied=copies.append,
        on_failure=lambda: None,
    )
    begun.start()
    clock.rightNow += 0.01
    clock.turn()
    return begun


def test_large_state_is_copied_in_many_turns_of_the_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(take_over, 'SLICE_SECONDS', 0)
    clock, state, copies = TurningClock(), create_jobs(20), []
    begin_copy(clock, state, copies)
    for _ in range(20):
        assert not copies
        clock.turn()
    clock.turn()
    assert dump_batch_state(copies[0]) == dump_batch_state(state.batch)


def test_change_during_the_copy_is_not_missed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(take_over, 'SLICE_SECONDS', 0)
    clock, state, copies = TurningClock(), create_jobs(5), []
    begun = begin_copy(clock, state, copies)
    clock.turn()
    change = BatchChange(cancels=['j0'])
    apply_batch_change(state.batch, change)
    command = Command(batch=change)
    begun.follow(AppliedCommand(LogIndex(9), command, Outcome(), ()))
    for _ in range(10):
        clock.turn()
    assert dump_batch_state(copies[0]) == dump_batch_state(state.batch)


def test_copy_that_was_given_up_begins_no_term(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(take_over, 'SLICE_SECONDS', 0)
    clock, state, copies = TurningClock(), create_jobs(5), []
    begun = begin_copy(clock, state, copies)
    clock.turn()
    begun.cancel()
    clock.advance(1)
    assert not copies

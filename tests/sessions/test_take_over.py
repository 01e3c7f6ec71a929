"""Take-over of the queues by a leader, from the state that is committed."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred, fail, maybeDeferred
from twisted.internet.task import Clock

from tests.batch.jobs_fakes import accept, step
from tests.sessions.batch_fakes import BatchFleet, create_step
from wasabiturn.batch import (
    BatchState,
    apply_batch_change,
    dump_batch_state,
)
from wasabiturn.ids import LogIndex
from wasabiturn.messages.batch import BatchChange, PutRouting, Routing
from wasabiturn.messages.kinds import JobState, Method
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process.control.batch import leader, take_over
from wasabiturn.version.replica import AppliedCommand, NotLeaderError
from wasabiturn.version.state import State, create_state


def call_leader(fleet: BatchFleet, method: Method, message: Any) -> None:
    route = fleet.dispatch.calls_by_method[method]
    maybeDeferred(route.handler, None, message).addErrback(lambda _: None)


def test_job_on_its_way_when_a_term_of_the_queues_ends_is_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The member leads on: only one change found no room on its disk."""
    fleet = BatchFleet()
    fleet.run(1)
    submit = fleet.replica.submit
    held: list[tuple[Command, Deferred[Outcome]]] = []

    def hold(command: Command) -> Deferred[Outcome]:
        outcome: Deferred[Outcome] = Deferred()
        held.append((command, outcome))
        return outcome

    monkeypatch.setattr(fleet.replica, 'submit', hold)
    call = fleet.create_submission('job', [create_step()])
    call_leader(fleet, Method.job, call)
    fleet.run(0.05)
    monkeypatch.setattr(
        fleet.replica, 'submit', lambda _: fail(NotLeaderError(None))
    )
    put = PutRouting(routing=Routing(version=9, document=b'1'))
    call_leader(fleet, Method.put_routing, put)
    fleet.run(0.05)
    monkeypatch.setattr(fleet.replica, 'submit', hold)
    fleet.run(0.5)
    monkeypatch.setattr(fleet.replica, 'submit', submit)
    for command, outcome in held:
        submit(command).chainDeferred(outcome)
    fleet.run(10)
    job = fleet.replica.state.batch.jobs_by_id['job']
    assert job.state is JobState.done


class TurningClock(Clock):
    """Clock whose calls are made in turns, as those of a loop are."""

    def turn(self) -> None:
        due = [each for each in self.calls if each.getTime() <= self.seconds()]
        for call in due:
            self.calls.remove(call)
            call.called = 1
            call.func(*call.args, **call.kw)


class CommittingReplica:
    """Commits each command after a moment."""

    def __init__(self, clock: Clock, state: State) -> None:
        self.state = state
        self._clock = clock

    def submit(self, command: Command) -> Deferred[Outcome]:
        outcome: Deferred[Outcome] = Deferred()
        self._clock.callLater(0.01, outcome.callback, Outcome())
        return outcome


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


def test_unexpected_error_in_a_take_over_is_followed_by_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = BatchFleet()
    fleet.run(1)
    with monkeypatch.context() as patched:
        patched.setattr(leader, 'LeaderTerm', lambda **_: 1 / 0)
        fleet.change_leader()
        fleet.run(1)
    fleet.submit('a', [create_step(1)])
    fleet.run_until('a', JobState.done, seconds=20)


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

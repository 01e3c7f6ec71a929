"""Retry rate of leader calls while no leader is known."""

from random import Random
from typing import Any

from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from wasabiturn.connection.calls import CallError
from wasabiturn.messages.kinds import FailureCode, Method
from wasabiturn.messages.link import Nothing
from wasabiturn.process.leader_calls import LeaderCalls

# An agent heartbeat is about 700 bytes; the traffic budget of a node is 4 KB/s.
MAX_ATTEMPTS_PER_SECOND = 5


class RefusingLink:
    def __init__(self) -> None:
        self.attempts = 0

    def call(self, *parts: Any, timeout_seconds: float) -> Deferred[Any]:
        self.attempts += 1
        return fail(CallError(FailureCode.not_leader, 'no leader'))


def test_retries_without_a_leader_are_rate_limited() -> None:
    clock = Clock()
    link: Any = RefusingLink()
    calls = LeaderCalls(lambda: [link], clock, Random(1))
    errors: list[Any] = []
    call = calls.call(Method.heartbeat, Nothing(), Nothing, 10.0)
    call.addErrback(lambda failure: errors.append(failure.value.code))
    for _ in range(1100):
        clock.advance(0.01)
    assert errors == [FailureCode.unavailable]
    assert link.attempts <= 10 * MAX_ATTEMPTS_PER_SECOND


def test_cancelled_call_is_not_sent_again() -> None:
    clock = Clock()
    link: Any = RefusingLink()
    calls = LeaderCalls(lambda: [link], clock, Random(1))
    errors: list[Any] = []
    call = calls.call(Method.mark_data_centre, Nothing(), Nothing, 10.0)
    call.addErrback(errors.append)
    clock.advance(0.5)
    attempts = link.attempts
    call.cancel()
    clock.pump([0.1] * 200)
    assert link.attempts == attempts
    assert len(errors) == 1

"""Tests that inject each fault at each step of a booking request.

Each snapshot holds what the caller saw, how often the booking ran, and what a
resend through another entry got. A booking must never run twice, and may be
reported as ``not-run`` only if it did not run.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import pytest

from tests.process.entry.fakes import EntryHarness, FakeCaller, FakeRequest
from wasabiturn.ids import ClaimId
from wasabiturn.messages.kinds import FailureCode, Verdict
from wasabiturn.messages.state import Header

HEAD = (
    'POST /standdesk/confirm HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n{}\r\n'
)
KEY = 'Idempotency-Key: stand-17\r\n'
ANSWER_HEADERS = (Header('Content-Length', '6'),)


@attrs.define
class Booking:
    """One booking request, and how often it ran."""

    harness: EntryHarness
    keyed: bool
    caller: FakeCaller | None = None
    # Complete requests that an agent refused, so that they did not run.
    refused: int = 0
    # Indexes into ``harness.requests()``.
    answered: set[int] = attrs.field(factory=set)

    def send(self, body: str = 'hello') -> None:
        head = HEAD.format(KEY if self.keyed else '')
        self.caller = self.harness.call(head + body)

    def runs(self) -> int:
        complete = [each for each in self.harness.requests() if each.ended]
        return len(complete) - self.refused

    def answer_all(self) -> None:
        """Answer all complete requests, as the backend servers would."""
        for number, request in enumerate(self.harness.requests()):
            if request.ended and number not in self.answered:
                self.answered.add(number)
                self._finish(request)
        self.harness.pump()

    def _finish(self, request: FakeRequest) -> None:
        if not request.stream.sent_end:
            request.answer(b'booked', 200, ANSWER_HEADERS)
        for agent in self.harness.pool.agents:
            claim_id = ClaimId(request.head.claim_id)
            if request in agent.requests and request.head.claim_id:
                agent.core.claims.finish(claim_id, ran=True)


def reach_body_missing(booking: Booking) -> None:
    booking.send(body='he')


def reach_claiming(booking: Booking) -> None:
    booking.harness.session.held_replies = []
    booking.send()


def reach_sent(booking: Booking) -> None:
    booking.send()


def reach_refused(booking: Booking) -> None:
    booking.send()
    (request,) = booking.harness.requests()
    request.refuse(Verdict.not_run, 'queue is full')
    booking.refused += 1
    for agent in booking.harness.pool.agents:
        if request in agent.requests and request.head.claim_id:
            agent.core.claims.finish(ClaimId(request.head.claim_id), ran=False)
    booking.harness.pump()


def reach_answer_head(booking: Booking) -> None:
    booking.send()
    booking.harness.requests()[0].begin(200, ANSWER_HEADERS)
    booking.harness.pump()


def reach_half_answer(booking: Booking) -> None:
    reach_answer_head(booking)
    booking.harness.requests()[0].stream.write(b'boo')
    booking.harness.pump()


def reach_recording(booking: Booking) -> None:
    booking.send()
    booking.harness.session.held_replies = []
    booking.answer_all()


def reach_answered(booking: Booking) -> None:
    booking.send()
    booking.answer_all()


def cut_links(booking: Booking) -> None:
    for agent in booking.harness.pool.agents:
        agent.lose_link()
    booking.harness.advance(0.1)


def drop_agent_messages(booking: Booking) -> None:
    for agent in booking.harness.pool.agents:
        agent.pipe.cut_to_left = True
    booking.harness.advance(2.0)


def restart_agents(booking: Booking) -> None:
    for agent in booking.harness.pool.agents:
        agent.core.restart()
    cut_links(booking)


def kill_entry(booking: Booking) -> None:
    assert booking.caller is not None
    booking.harness.session.held_replies = None
    for agent in booking.harness.pool.agents:
        agent.pipe.right.connectionLost()
        agent.pipe.cut_to_right = True
        agent.pipe.cut_to_left = True
    booking.harness.clock.calls.clear()


def lose_quorum(booking: Booking) -> None:
    booking.harness.session.failure = FailureCode.unavailable
    _fail_held_replies(booking, FailureCode.unavailable)


def change_leader(booking: Booking) -> None:
    booking.harness.session.failure = FailureCode.outcome_unknown
    _fail_held_replies(booking, FailureCode.outcome_unknown)


def _fail_held_replies(booking: Booking, code: FailureCode) -> None:
    held = booking.harness.session.held_replies or []
    booking.harness.session.held_replies = None
    for waiting in held:
        waiting.errback(booking.harness.session.create_error(code))
    booking.harness.advance(0.5)


def hang_up(booking: Booking) -> None:
    assert booking.caller is not None
    booking.caller.hang_up()


def pass_deadline(booking: Booking) -> None:
    booking.harness.advance(10.5)


STEPS: dict[str, Callable[[Booking], None]] = {
    'body missing': reach_body_missing,
    'claiming': reach_claiming,
    'sent': reach_sent,
    'refused by one agent': reach_refused,
    'answer begun': reach_answer_head,
    'answer half': reach_half_answer,
    'recording': reach_recording,
    'answered': reach_answered,
}
KEYED_ONLY = frozenset(('claiming', 'recording'))
FAULTS: dict[str, Callable[[Booking], None]] = {
    'links cut': cut_links,
    'agents unheard': drop_agent_messages,
    'agents restarted': restart_agents,
    'entry killed': kill_entry,
    'quorum lost': lose_quorum,
    'leader changed': change_leader,
    'caller gone': hang_up,
    'deadline passed': pass_deadline,
}


def describe(caller: FakeCaller | None) -> str:
    """Describe the status and outcome that the caller saw."""
    text = caller.received if caller is not None else ''
    if not text:
        return 'nothing'
    status = text.split(' ')[1]
    for outcome in ('not-run', 'unknown'):
        if f'Wasabiturn-Outcome: {outcome}' in text:
            return f'{status} {outcome}'
    complete = text.endswith('booked')
    return f'{status} whole' if complete else f'{status} broken off'


def check_runs(seen: str, runs: int) -> None:
    assert runs <= 1
    if 'not-run' in seen:
        assert runs == 0
    if 'whole' in seen:
        assert runs == 1


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize(
    'step', [step for step in STEPS if step not in KEYED_ONLY]
)
def test_booking_without_key(
    tmp_path: Path,
    snapshot: Any,
    step: str,
    fault: str,
) -> None:
    booking = Booking(EntryHarness(tmp_path), keyed=False)
    STEPS[step](booking)
    FAULTS[fault](booking)
    booking.answer_all()
    booking.harness.advance(11)
    seen = describe(booking.caller)
    check_runs(seen, booking.runs())
    assert f'{seen}, runs {booking.runs()}' == snapshot


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('step', STEPS)
def test_booking_with_key(
    tmp_path: Path,
    snapshot: Any,
    step: str,
    fault: str,
) -> None:
    booking = Booking(EntryHarness(tmp_path), keyed=True)
    STEPS[step](booking)
    FAULTS[fault](booking)
    booking.answer_all()
    booking.harness.advance(11)
    seen = describe(booking.caller)
    first = f'{seen}, runs {booking.runs()}'
    check_runs(seen, booking.runs())
    booking.harness.session.failure = None
    booking.harness.session.held_replies = None
    other = EntryHarness(tmp_path, name='entry-2', peer=booking.harness)
    resent = other.call(HEAD.format(KEY) + 'hello')
    for _ in range(8):
        other.advance(1.0)
        booking.answer_all()
        other.pump()
    again = describe(resent)
    check_runs(again, booking.runs())
    assert again != 'nothing'
    assert f'{first}; resent: {again}, runs {booking.runs()}' == snapshot

"""A booking, disturbed at every step between its receipt and its answer.

Each golden session shows what the caller saw, how often the booking ran, and
what a resend through another entry got. ``not-run`` may stand only where the
booking did not run, and it never runs twice.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import pytest

from tests.process.entry.fakes import Bench, FakeCaller, FakeRequest
from wasabiturn.ids import ClaimId
from wasabiturn.messages.kinds import FailureCode, Verdict
from wasabiturn.messages.state import Header

HEAD = (
    'POST /standdesk/confirm HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n{}\r\n'
)
KEY = 'Idempotency-Key: stand-17\r\n'
LENGTH = (Header('Content-Length', '6'),)


@attrs.define
class Session:
    """One booking, its caller and what ran."""

    bench: Bench
    keyed: bool
    caller: FakeCaller | None = None
    refused: int = 0
    answered: set[int] = attrs.field(factory=set)

    def send(self, body: str = 'hello') -> None:
        head = HEAD.format(KEY if self.keyed else '')
        self.caller = self.bench.call(head + body)

    def runs(self) -> int:
        whole = [each for each in self.bench.requests() if each.ended]
        return len(whole) - self.refused

    def answer_all(self) -> None:
        """Let the backend servers finish what they were given."""
        for number, request in enumerate(self.bench.requests()):
            if request.ended and number not in self.answered:
                self.answered.add(number)
                self._finish(request)
        self.bench.pump()

    def _finish(self, request: FakeRequest) -> None:
        if not request.stream.sent_end:
            request.answer(b'booked', 200, LENGTH)
        for agent in self.bench.pool.agents:
            claim_id = ClaimId(request.head.claim_id)
            if request in agent.requests and request.head.claim_id:
                agent.core.claims.finish(claim_id, ran=True)


def reach_body_missing(session: Session) -> None:
    session.send(body='he')


def reach_claiming(session: Session) -> None:
    session.bench.session.held = []
    session.send()


def reach_sent(session: Session) -> None:
    session.send()


def reach_refused(session: Session) -> None:
    session.send()
    (request,) = session.bench.requests()
    request.refuse(Verdict.not_run, 'queue is full')
    session.refused += 1
    for agent in session.bench.pool.agents:
        if request in agent.requests and request.head.claim_id:
            agent.core.claims.finish(ClaimId(request.head.claim_id), ran=False)
    session.bench.pump()


def reach_head(session: Session) -> None:
    session.send()
    session.bench.requests()[0].begin(200, LENGTH)
    session.bench.pump()


def reach_half(session: Session) -> None:
    reach_head(session)
    session.bench.requests()[0].stream.write(b'boo')
    session.bench.pump()


def reach_recording(session: Session) -> None:
    session.send()
    session.bench.session.held = []
    session.answer_all()


def reach_answered(session: Session) -> None:
    session.send()
    session.answer_all()


def cut_links(session: Session) -> None:
    for agent in session.bench.pool.agents:
        agent.lose_link()
    session.bench.advance(0.1)


def silence_links(session: Session) -> None:
    for agent in session.bench.pool.agents:
        agent.pipe.cut_to_left = True
    session.bench.advance(2.0)


def restart_agents(session: Session) -> None:
    for agent in session.bench.pool.agents:
        agent.core.restart()
    cut_links(session)


def kill_entry(session: Session) -> None:
    assert session.caller is not None
    session.bench.session.held = None
    for agent in session.bench.pool.agents:
        agent.pipe.right.connectionLost()
        agent.pipe.cut_to_right = True
        agent.pipe.cut_to_left = True
    session.bench.clock.calls.clear()


def lose_quorum(session: Session) -> None:
    session.bench.session.failure = FailureCode.unavailable
    _fail_held(session, FailureCode.unavailable)


def change_leader(session: Session) -> None:
    session.bench.session.failure = FailureCode.outcome_unknown
    _fail_held(session, FailureCode.outcome_unknown)


def _fail_held(session: Session, code: FailureCode) -> None:
    held = session.bench.session.held or []
    session.bench.session.held = None
    for waiting in held:
        waiting.errback(session.bench.session.create_error(code))
    session.bench.advance(0.5)


def hang_up(session: Session) -> None:
    assert session.caller is not None
    session.caller.hang_up()


def pass_deadline(session: Session) -> None:
    session.bench.advance(10.5)


STEPS: dict[str, Callable[[Session], None]] = {
    'body missing': reach_body_missing,
    'claiming': reach_claiming,
    'sent': reach_sent,
    'refused by one agent': reach_refused,
    'answer begun': reach_head,
    'answer half': reach_half,
    'recording': reach_recording,
    'answered': reach_answered,
}
KEYED_ONLY = frozenset(('claiming', 'recording'))
FAULTS: dict[str, Callable[[Session], None]] = {
    'links cut': cut_links,
    'agents unheard': silence_links,
    'agents restarted': restart_agents,
    'entry killed': kill_entry,
    'quorum lost': lose_quorum,
    'leader changed': change_leader,
    'caller gone': hang_up,
    'deadline passed': pass_deadline,
}


def describe(caller: FakeCaller | None) -> str:
    """Return status and outcome as the caller saw them."""
    text = caller.received if caller is not None else ''
    if not text:
        return 'nothing'
    status = text.split(' ')[1]
    for outcome in ('not-run', 'unknown'):
        if f'Wasabiturn-Outcome: {outcome}' in text:
            return f'{status} {outcome}'
    whole = text.endswith('booked')
    return f'{status} whole' if whole else f'{status} broken off'


def check(seen: str, runs: int) -> None:
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
    session = Session(Bench(tmp_path), keyed=False)
    STEPS[step](session)
    FAULTS[fault](session)
    session.answer_all()
    session.bench.advance(11)
    seen = describe(session.caller)
    check(seen, session.runs())
    assert f'{seen}, runs {session.runs()}' == snapshot


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('step', STEPS)
def test_booking_with_key(
    tmp_path: Path,
    snapshot: Any,
    step: str,
    fault: str,
) -> None:
    session = Session(Bench(tmp_path), keyed=True)
    STEPS[step](session)
    FAULTS[fault](session)
    session.answer_all()
    session.bench.advance(11)
    seen = describe(session.caller)
    first = f'{seen}, runs {session.runs()}'
    check(seen, session.runs())
    session.bench.session.failure = None
    session.bench.session.held = None
    other = Bench(tmp_path, name='entry-2', peer=session.bench)
    resent = other.call(HEAD.format(KEY) + 'hello')
    for _ in range(8):
        other.advance(1.0)
        session.answer_all()
        other.pump()
    again = describe(resent)
    check(again, session.runs())
    assert again != 'nothing'
    assert f'{first}; resent: {again}, runs {session.runs()}' == snapshot

"""Keyed non-idempotent requests: claims, recorded answers, resends."""

from pathlib import Path

import pytest

from tests.process.entry.fakes import Bench
from wasabiturn.ids import ClaimId
from wasabiturn.messages.kinds import FailureCode, Verdict
from wasabiturn.messages.state import Header

KEYED = (
    'POST /standdesk/confirm HTTP/1.1\r\nHost: x\r\n'
    'Idempotency-Key: stand-17\r\nContent-Length: 5\r\n\r\nhello'
)
LENGTH_2 = (Header('Content-Length', '2'),)
OK = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@pytest.fixture
def bench(tmp_path: Path) -> Bench:
    return Bench(tmp_path)


@pytest.fixture
def other(bench: Bench, tmp_path: Path) -> Bench:
    """Return a second entry beside ``bench``, with links of its own."""
    return Bench(tmp_path, name='entry-2', peer=bench)


def test_claim_is_committed_before_the_request_is_sent(bench: Bench) -> None:
    bench.session.held = []
    bench.call(KEYED)
    assert not bench.requests()
    held = bench.session.held.pop()
    held.callback(None)
    bench.pump()
    (request,) = bench.requests()
    assert request.head.claim_id
    assert request.body == b'hello'


def test_answer_is_recorded_before_the_caller_gets_it(bench: Bench) -> None:
    caller = bench.call(KEYED)
    bench.session.held = []
    bench.requests()[0].answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert not caller.received
    bench.session.held.pop().callback(None)
    assert caller.received == OK


def test_resend_through_another_entry_replays(
    bench: Bench,
    other: Bench,
) -> None:
    bench.call(KEYED)
    bench.requests()[0].answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert other.call(KEYED).received == OK
    assert len(bench.requests()) == 1


def test_resend_after_hang_up_gets_the_answer(
    bench: Bench,
    other: Bench,
) -> None:
    bench.call(KEYED).hang_up()
    (request,) = bench.requests()
    assert request.reset_reason is None
    request.answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert other.call(KEYED).received == OK


def test_resend_at_the_same_instant_waits(bench: Bench, other: Bench) -> None:
    first = bench.call(KEYED)
    second = other.call(KEYED)
    assert len(bench.requests()) == 1
    bench.requests()[0].answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert first.received == OK
    other.advance(0.3)
    assert second.received == OK


def test_refused_claim_of_a_dead_claimant_is_claimed_anew(
    bench: Bench,
    other: Bench,
) -> None:
    bench.session.held = []
    bench.call(KEYED).hang_up()
    bench.session.held.clear()
    bench.session.held = None
    caller = other.call(KEYED)
    other.advance(1.0)
    (request,) = other.requests()
    request.answer(b'ok', 200, LENGTH_2)
    other.pump()
    assert caller.received == OK


@pytest.mark.parametrize('restarted', [True, False])
def test_lost_answer_of_a_dead_claimant_is_unknown(
    bench: Bench,
    other: Bench,
    restarted: bool,
) -> None:
    bench.call(KEYED)
    (request,) = bench.requests()
    for agent in bench.pool.agents:
        if restarted:
            agent.core.restart()
        else:
            agent.core.claims.finish(ClaimId(request.head.claim_id), ran=True)
    caller = other.call(KEYED)
    other.advance(4.0)
    assert caller.received.startswith('HTTP/1.1 502')
    assert 'Wasabiturn-Outcome: unknown' in caller.received
    assert len(bench.requests()) == 1


def test_no_quorum_is_not_run(bench: Bench) -> None:
    bench.session.failure = FailureCode.unavailable
    caller = bench.call(KEYED)
    assert caller.received.startswith('HTTP/1.1 503')
    assert 'Wasabiturn-Outcome: not-run' in caller.received
    assert not bench.requests()


def test_open_claim_is_unknown_and_never_sent(bench: Bench) -> None:
    bench.session.failure = FailureCode.outcome_unknown
    caller = bench.call(KEYED)
    bench.advance(11)
    assert 'Wasabiturn-Outcome: unknown' in caller.received
    assert not bench.requests()


def test_key_of_another_request_is_refused(bench: Bench) -> None:
    bench.call(KEYED)
    caller = bench.call(KEYED.replace('hello', 'other'))
    assert caller.received.startswith('HTTP/1.1 422')
    assert 'Wasabiturn-Outcome: not-run' in caller.received


def test_not_run_is_claimed_anew_for_the_other_agent(bench: Bench) -> None:
    caller = bench.call(KEYED)
    (first,) = bench.requests()
    first.refuse(Verdict.not_run, 'queue is full')
    bench.pump()
    second = next(each for each in bench.requests() if each is not first)
    assert second.head.claim_id != first.head.claim_id
    second.answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert caller.received == OK


def test_claim_names_the_incarnation_that_the_link_reaches(
    bench: Bench,
) -> None:
    bench.session.held = []
    bench.call(KEYED)
    for agent in bench.pool.agents:
        agent.pipe.left.peer.incarnation = 'restarted'
    held = bench.session.held.pop()
    bench.session.held = None
    held.callback(None)
    bench.pump()
    (request,) = bench.requests()
    (record,) = bench.session.state.claims_by_key.values()
    assert record.claim.claim_id == request.head.claim_id
    assert record.claim.agent_incarnation == 'restarted'


def test_large_answer_streams_and_cannot_be_replayed(
    bench: Bench,
    other: Bench,
) -> None:
    caller = bench.call(KEYED)
    body = b'x' * 100_000
    headers = (Header('Content-Length', str(len(body))),)
    bench.requests()[0].answer(body, 200, headers)
    bench.pump()
    assert caller.received.endswith('x' * 100_000)
    resent = other.call(KEYED)
    assert 'Wasabiturn-Outcome: unknown' in resent.received


def test_body_over_the_limit_is_refused(bench: Bench) -> None:
    head = KEYED.replace('Content-Length: 5', 'Content-Length: 1200000')
    caller = bench.call(head.replace('hello', ''))
    caller.send(b'x' * 1_100_000)
    assert caller.received.startswith('HTTP/1.1 413')
    assert 'Wasabiturn-Outcome: not-run' in caller.received


def test_answer_after_the_deadline_is_recorded_for_a_resend(
    bench: Bench,
    other: Bench,
) -> None:
    caller = bench.call(KEYED)
    bench.advance(10.5)
    assert caller.received.startswith('HTTP/1.1 504')
    assert 'Wasabiturn-Outcome: unknown' in caller.received
    told = caller.received
    bench.requests()[0].answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert caller.received == told
    assert other.call(KEYED).received == OK
    assert len(bench.requests()) == 1

"""Tests of keyed requests: claims, recorded answers, resends."""

from pathlib import Path

import pytest

from tests.process.entry.fakes import EntryHarness, FakeRequest
from wasabiturn.ids import ClaimId
from wasabiturn.messages.kinds import FailureCode, Verdict
from wasabiturn.messages.state import Header
from wasabiturn.request.agent_claims import AgentClaims

KEYED = (
    'POST /standdesk/confirm HTTP/1.1\r\nHost: x\r\n'
    'Idempotency-Key: stand-17\r\nContent-Length: 5\r\n\r\nhello'
)
LENGTH_2 = (Header('Content-Length', '2'),)
OK = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@pytest.fixture
def harness(tmp_path: Path) -> EntryHarness:
    return EntryHarness(tmp_path)


@pytest.fixture
def other(harness: EntryHarness, tmp_path: Path) -> EntryHarness:
    """Return a second entry beside ``harness``, with its own links."""
    return EntryHarness(tmp_path, name='entry-2', peer=harness)


def test_claim_is_committed_before_the_request_is_sent(
    harness: EntryHarness,
) -> None:
    harness.session.held_replies = []
    harness.call(KEYED)
    assert not harness.requests()
    reply = harness.session.held_replies.pop()
    reply.callback(None)
    harness.pump()
    (request,) = harness.requests()
    assert request.head.claim_id
    assert request.body == b'hello'


def test_answer_is_recorded_before_the_caller_gets_it(
    harness: EntryHarness,
) -> None:
    caller = harness.call(KEYED)
    harness.session.held_replies = []
    harness.requests()[0].answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert not caller.received
    harness.session.held_replies.pop().callback(None)
    assert caller.received == OK


def test_resend_through_another_entry_gets_recorded_answer(
    harness: EntryHarness,
    other: EntryHarness,
) -> None:
    harness.call(KEYED)
    harness.requests()[0].answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert other.call(KEYED).received == OK
    assert len(harness.requests()) == 1


def test_resend_after_disconnect_gets_the_answer(
    harness: EntryHarness,
    other: EntryHarness,
) -> None:
    harness.call(KEYED).hang_up()
    (request,) = harness.requests()
    assert request.reset_reason is None
    request.answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert other.call(KEYED).received == OK


def test_concurrent_resend_waits_for_the_answer(
    harness: EntryHarness, other: EntryHarness
) -> None:
    first = harness.call(KEYED)
    second = other.call(KEYED)
    assert len(harness.requests()) == 1
    harness.requests()[0].answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert first.received == OK
    other.advance(0.3)
    assert second.received == OK


def test_unsent_claim_of_a_failed_entry_is_replaced(
    harness: EntryHarness,
    other: EntryHarness,
) -> None:
    harness.session.held_replies = []
    harness.call(KEYED).hang_up()
    harness.session.held_replies.clear()
    harness.session.held_replies = None
    caller = other.call(KEYED)
    other.advance(1.0)
    (request,) = other.requests()
    request.answer(b'ok', 200, LENGTH_2)
    other.pump()
    assert caller.received == OK


@pytest.mark.parametrize('restarted', [True, False])
def test_lost_answer_of_a_failed_entry_is_unknown(
    harness: EntryHarness,
    other: EntryHarness,
    restarted: bool,
) -> None:
    harness.call(KEYED)
    (request,) = harness.requests()
    for agent in harness.pool.agents:
        if restarted:
            agent.core.restart()
        else:
            agent.core.claims.finish(ClaimId(request.head.claim_id), ran=True)
    caller = other.call(KEYED)
    other.advance(4.0)
    assert caller.received.startswith('HTTP/1.1 502')
    assert 'Wasabiturn-Outcome: unknown' in caller.received
    assert len(harness.requests()) == 1


def test_request_is_not_run_without_a_quorum(harness: EntryHarness) -> None:
    harness.session.failure = FailureCode.unavailable
    caller = harness.call(KEYED)
    assert caller.received.startswith('HTTP/1.1 503')
    assert 'Wasabiturn-Outcome: not-run' in caller.received
    assert not harness.requests()


def test_request_with_unconfirmed_claim_is_unknown_and_never_sent(
    harness: EntryHarness,
) -> None:
    harness.session.failure = FailureCode.outcome_unknown
    caller = harness.call(KEYED)
    harness.advance(11)
    assert 'Wasabiturn-Outcome: unknown' in caller.received
    assert not harness.requests()


def test_key_reused_for_another_request_is_refused(
    harness: EntryHarness,
) -> None:
    harness.call(KEYED)
    caller = harness.call(KEYED.replace('hello', 'other'))
    assert caller.received.startswith('HTTP/1.1 422')
    assert 'Wasabiturn-Outcome: not-run' in caller.received


def test_not_run_is_retried_with_a_new_claim_on_another_agent(
    harness: EntryHarness,
) -> None:
    caller = harness.call(KEYED)
    (first,) = harness.requests()
    first.refuse(Verdict.not_run, 'queue is full')
    harness.pump()
    second = next(each for each in harness.requests() if each is not first)
    assert second.head.claim_id != first.head.claim_id
    second.answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert caller.received == OK


def refuse_with_unanswered_record(harness: EntryHarness) -> FakeRequest:
    """Refuse the only request, and answer no record of that for a while."""
    (request,) = harness.requests()
    harness.session.held_answers = []
    # A refusal without a backend server leaves no trace of the claim.
    request.core.claims = AgentClaims()
    request.refuse(Verdict.not_run, 'no backend server of the service is here')
    harness.pump()
    harness.advance(0.3)
    return request


def test_claim_given_up_as_not_run_is_never_sent_again(
    harness: EntryHarness,
) -> None:
    harness.call(KEYED)
    refuse_with_unanswered_record(harness)
    harness.advance(0.5)
    harness.session.held_answers = None
    harness.advance(1)
    first, second = harness.requests()
    assert first.head.claim_id != second.head.claim_id


def test_late_record_of_a_refusal_does_not_release_a_request_that_runs(
    harness: EntryHarness,
    other: EntryHarness,
) -> None:
    caller = harness.call(KEYED)
    first = refuse_with_unanswered_record(harness)
    harness.session.release_answers()
    harness.advance(0.3)
    second = next(each for each in harness.requests() if each is not first)
    second.answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert caller.received == OK
    assert other.call(KEYED).received == OK
    assert len(harness.requests()) == 2


def test_claim_names_the_incarnation_of_the_link_peer(
    harness: EntryHarness,
) -> None:
    harness.session.held_replies = []
    harness.call(KEYED)
    for agent in harness.pool.agents:
        agent.pipe.left.peer.incarnation = 'restarted'
    reply = harness.session.held_replies.pop()
    harness.session.held_replies = None
    reply.callback(None)
    harness.pump()
    (request,) = harness.requests()
    (record,) = harness.session.state.claims_by_key.values()
    assert record.claim.claim_id == request.head.claim_id
    assert record.claim.agent_incarnation == 'restarted'


def test_large_answer_streams_and_cannot_be_replayed(
    harness: EntryHarness,
    other: EntryHarness,
) -> None:
    caller = harness.call(KEYED)
    body = b'x' * 100_000
    headers = (Header('Content-Length', str(len(body))),)
    harness.requests()[0].answer(body, 200, headers)
    harness.pump()
    assert caller.received.endswith('x' * 100_000)
    resent = other.call(KEYED)
    assert 'Wasabiturn-Outcome: unknown' in resent.received


def test_body_over_the_limit_is_refused(harness: EntryHarness) -> None:
    head = KEYED.replace('Content-Length: 5', 'Content-Length: 1200000')
    caller = harness.call(head.replace('hello', ''))
    caller.send(b'x' * 1_100_000)
    assert caller.received.startswith('HTTP/1.1 413')
    assert 'Wasabiturn-Outcome: not-run' in caller.received


def test_answer_after_the_deadline_is_recorded_for_a_resend(
    harness: EntryHarness,
    other: EntryHarness,
) -> None:
    caller = harness.call(KEYED)
    harness.advance(10.5)
    assert caller.received.startswith('HTTP/1.1 504')
    assert 'Wasabiturn-Outcome: unknown' in caller.received
    received_before = caller.received
    harness.requests()[0].answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert caller.received == received_before
    assert other.call(KEYED).received == OK
    assert len(harness.requests()) == 1

"""Tests of requests without a key: answers, retries, hedges, refusals."""

from pathlib import Path

import pytest

from tests.process.entry.fakes import SERVICE, EntryHarness
from wasabiturn.messages.kinds import Verdict
from wasabiturn.messages.state import Header

GET = 'GET /standdesk/stands?fair=2 HTTP/1.1\r\nHost: x\r\n\r\n'
POST = (
    'POST /standdesk/confirm HTTP/1.1\r\nHost: x\r\n'
    'Content-Length: 5\r\n\r\nhello'
)
LENGTH_2 = (Header('Content-Length', '2'),)


@pytest.fixture
def harness(tmp_path: Path) -> EntryHarness:
    return EntryHarness(tmp_path)


def test_request_and_answer_are_forwarded(harness: EntryHarness) -> None:
    caller = harness.call(POST)
    (request,) = harness.requests()
    assert request.head.path == '/confirm'
    assert request.head.method == 'POST'
    assert request.body == b'hello'
    assert request.ended
    request.answer(b'ok', 201, LENGTH_2)
    harness.pump()
    assert (
        caller.received == 'HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok'
    )


def test_path_is_forwarded_with_its_query(harness: EntryHarness) -> None:
    harness.call(GET)
    assert harness.requests()[0].head.path == '/stands?fair=2'


def test_unknown_service_gets_404(harness: EntryHarness) -> None:
    caller = harness.call('GET /nothing/x HTTP/1.1\r\nHost: x\r\n\r\n')
    assert caller.received.startswith('HTTP/1.1 404')
    assert 'Wasabiturn-Outcome: not-run' in caller.received


def test_request_without_agents_is_refused_as_not_run(tmp_path: Path) -> None:
    caller = EntryHarness(tmp_path, agents=0).call(GET)
    assert caller.received.startswith('HTTP/1.1 503')
    assert 'Wasabiturn-Outcome: not-run' in caller.received
    assert 'Retry-After: ' in caller.received


def test_not_run_is_retried_on_another_agent(harness: EntryHarness) -> None:
    caller = harness.call(POST)
    (first,) = harness.requests()
    first.refuse(Verdict.not_run, 'queue is full')
    harness.pump()
    second = next(each for each in harness.requests() if each is not first)
    assert second.body == b'hello'
    second.answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert caller.received.endswith('ok')


def test_non_idempotent_request_is_not_retried_after_link_loss(
    harness: EntryHarness,
) -> None:
    caller = harness.call(POST)
    first_agent = next(agent for agent in harness.pool.agents if agent.requests)
    first_agent.lose_link()
    harness.pump()
    assert caller.received.startswith('HTTP/1.1 502')
    assert 'Wasabiturn-Outcome: unknown' in caller.received
    assert len(harness.requests()) == 1


def test_idempotent_request_is_retried_after_link_loss(
    harness: EntryHarness,
) -> None:
    caller = harness.call(GET)
    first_agent = next(agent for agent in harness.pool.agents if agent.requests)
    first_agent.lose_link()
    harness.pump()
    other = next(
        each for each in harness.pool.agents if each is not first_agent
    )
    other.requests[0].answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert caller.received.endswith('ok')


def test_sent_request_is_unknown_after_the_deadline(
    harness: EntryHarness,
) -> None:
    caller = harness.call(POST)
    harness.advance(10.2)
    assert caller.received.startswith('HTTP/1.1 504')
    assert 'Wasabiturn-Outcome: unknown' in caller.received


def test_reset_during_answer_aborts_the_connection(
    harness: EntryHarness,
) -> None:
    caller = harness.call(GET)
    (request,) = harness.requests()
    request.begin(200, (Header('Content-Length', '10'),))
    request.stream.write(b'half')
    harness.pump()
    request.stream.reset('backend broke off')
    harness.pump()
    assert caller.is_aborted


def test_answer_shorter_than_declared_aborts_the_connection(
    harness: EntryHarness,
) -> None:
    caller = harness.call(GET)
    harness.requests()[0].answer(b'half', 200, (Header('Content-Length', '9'),))
    harness.pump()
    assert caller.is_aborted


def test_caller_disconnect_resets_the_stream(harness: EntryHarness) -> None:
    caller = harness.call(GET)
    (request,) = harness.requests()
    caller.hang_up()
    assert request.reset_reason == 'caller hung up'


def test_hedge_is_sent_after_p95_latency(harness: EntryHarness) -> None:
    for _ in range(32):
        harness.call(GET)
        harness.clock.advance(0.01)
        harness.requests()[-1].answer(b'')
        for request in harness.requests():
            if not request.stream.sent_end:
                request.answer(b'')
        harness.pump()
    before = len(harness.requests())
    caller = harness.call(GET)
    harness.advance(0.1)
    sent = harness.requests()
    assert len(sent) == before + 2
    unanswered = [each for each in sent if not each.stream.sent_end]
    unanswered[0].answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert caller.received.endswith('ok')
    assert unanswered[1].reset_reason == 'another attempt was answered'


def test_second_answer_of_a_hedged_request_is_discarded(
    harness: EntryHarness,
) -> None:
    for _ in range(64):
        harness.router.record_latency(SERVICE, 0.01)
    caller = harness.call(GET)
    harness.advance(0.1)
    first, second = harness.requests()
    second.answer(b'22', 200, LENGTH_2)
    first.answer(b'11', 200, LENGTH_2)
    harness.pump()
    body = caller.received.rpartition('\r\n')[2]
    assert body in {'11', '22'}
    assert caller.received.count('HTTP/1.1 200') == 1
    next_caller = harness.call(GET)
    harness.requests()[-1].answer(b'33', 200, LENGTH_2)
    for request in harness.requests():
        request.answer(b'33', 200, LENGTH_2)
    harness.pump()
    assert next_caller.received.endswith('33')


def test_answer_after_the_deadline_is_discarded(harness: EntryHarness) -> None:
    caller = harness.call(GET)
    (request,) = harness.requests()
    harness.clock.advance(10.5)
    request.answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert caller.received.startswith('HTTP/1.1 504')
    assert caller.received.count('HTTP/1.1') == 1


def test_non_idempotent_request_is_never_hedged(harness: EntryHarness) -> None:
    for _ in range(40):
        harness.router.record_latency(SERVICE, 0.01)
    harness.call(POST)
    harness.advance(5)
    assert len(harness.requests()) == 1


def test_budget_limits_retries_in_an_outage(tmp_path: Path) -> None:
    harness = EntryHarness(tmp_path, agents=3)
    for _ in range(200):
        seen = len(harness.requests())
        harness.call(GET)
        answered = seen
        while answered < len(harness.requests()):
            for request in harness.requests():
                if not request.stream.sent_end:
                    answered += 1
                    request.refuse(Verdict.unknown, 'backend is down')
            harness.pump()
    assert len(harness.requests()) <= 200 + 10 + 20

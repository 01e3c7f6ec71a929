"""One request through the entry: answers, retries, refusals."""

from pathlib import Path

import pytest

from tests.process.entry.fakes import SERVICE, Bench
from wasabiturn.messages.kinds import Verdict
from wasabiturn.messages.state import Header

GET = 'GET /standdesk/stands?fair=2 HTTP/1.1\r\nHost: x\r\n\r\n'
POST = (
    'POST /standdesk/confirm HTTP/1.1\r\nHost: x\r\n'
    'Content-Length: 5\r\n\r\nhello'
)
LENGTH_2 = (Header('Content-Length', '2'),)


@pytest.fixture
def bench(tmp_path: Path) -> Bench:
    return Bench(tmp_path)


def test_request_and_answer_pass_whole(bench: Bench) -> None:
    caller = bench.call(POST)
    (request,) = bench.requests()
    assert request.head.path == '/confirm'
    assert request.head.method == 'POST'
    assert request.body == b'hello'
    assert request.ended
    request.answer(b'ok', 201, LENGTH_2)
    bench.pump()
    assert (
        caller.received == 'HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok'
    )


def test_query_travels_with_the_path(bench: Bench) -> None:
    bench.call(GET)
    assert bench.requests()[0].head.path == '/stands?fair=2'


def test_unknown_service_is_not_found(bench: Bench) -> None:
    caller = bench.call('GET /nothing/x HTTP/1.1\r\nHost: x\r\n\r\n')
    assert caller.received.startswith('HTTP/1.1 404')
    assert 'Wasabiturn-Outcome: not-run' in caller.received


def test_without_agents_refused_at_once(tmp_path: Path) -> None:
    caller = Bench(tmp_path, agents=0).call(GET)
    assert caller.received.startswith('HTTP/1.1 503')
    assert 'Wasabiturn-Outcome: not-run' in caller.received
    assert 'Retry-After: ' in caller.received


def test_not_run_is_retried_on_the_other_agent(bench: Bench) -> None:
    caller = bench.call(POST)
    (first,) = bench.requests()
    first.refuse(Verdict.not_run, 'queue is full')
    bench.pump()
    second = next(each for each in bench.requests() if each is not first)
    assert second.body == b'hello'
    second.answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert caller.received.endswith('ok')


def test_lost_link_is_unknown_and_not_sent_again(bench: Bench) -> None:
    caller = bench.call(POST)
    holder = next(agent for agent in bench.pool.agents if agent.requests)
    holder.lose_link()
    bench.pump()
    assert caller.received.startswith('HTTP/1.1 502')
    assert 'Wasabiturn-Outcome: unknown' in caller.received
    assert len(bench.requests()) == 1


def test_lost_link_is_retried_if_idempotent(bench: Bench) -> None:
    caller = bench.call(GET)
    holder = next(agent for agent in bench.pool.agents if agent.requests)
    holder.lose_link()
    bench.pump()
    other = next(each for each in bench.pool.agents if each is not holder)
    other.requests[0].answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert caller.received.endswith('ok')


def test_deadline_gives_unknown_once_sent(bench: Bench) -> None:
    caller = bench.call(POST)
    bench.advance(10.2)
    assert caller.received.startswith('HTTP/1.1 504')
    assert 'Wasabiturn-Outcome: unknown' in caller.received


def test_answer_that_breaks_off_aborts_the_connection(bench: Bench) -> None:
    caller = bench.call(GET)
    (request,) = bench.requests()
    request.begin(200, (Header('Content-Length', '10'),))
    request.stream.write(b'half')
    bench.pump()
    request.stream.reset('backend broke off')
    bench.pump()
    assert caller.is_aborted


def test_short_answer_aborts_the_connection(bench: Bench) -> None:
    caller = bench.call(GET)
    bench.requests()[0].answer(b'half', 200, (Header('Content-Length', '9'),))
    bench.pump()
    assert caller.is_aborted


def test_caller_hang_up_resets_the_stream(bench: Bench) -> None:
    caller = bench.call(GET)
    (request,) = bench.requests()
    caller.hang_up()
    assert request.reset_reason == 'caller hung up'


def test_hedge_after_observed_p95(bench: Bench) -> None:
    for _ in range(32):
        bench.call(GET)
        bench.clock.advance(0.01)
        bench.requests()[-1].answer(b'')
        for request in bench.requests():
            if not request.stream.sent_end:
                request.answer(b'')
        bench.pump()
    before = len(bench.requests())
    caller = bench.call(GET)
    bench.advance(0.1)
    sent = bench.requests()
    assert len(sent) == before + 2
    unanswered = [each for each in sent if not each.stream.sent_end]
    unanswered[0].answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert caller.received.endswith('ok')
    assert unanswered[1].reset_reason == 'another attempt was answered'


def test_second_answer_of_a_hedge_is_dropped(bench: Bench) -> None:
    for _ in range(64):
        bench.router.record_latency(SERVICE, 0.01)
    caller = bench.call(GET)
    bench.advance(0.1)
    first, second = bench.requests()
    second.answer(b'22', 200, LENGTH_2)
    first.answer(b'11', 200, LENGTH_2)
    bench.pump()
    body = caller.received.rpartition('\r\n')[2]
    assert body in {'11', '22'}
    assert caller.received.count('HTTP/1.1 200') == 1
    next_caller = bench.call(GET)
    bench.requests()[-1].answer(b'33', 200, LENGTH_2)
    for request in bench.requests():
        request.answer(b'33', 200, LENGTH_2)
    bench.pump()
    assert next_caller.received.endswith('33')


def test_answer_after_the_deadline_is_dropped(bench: Bench) -> None:
    caller = bench.call(GET)
    (request,) = bench.requests()
    bench.clock.advance(10.5)
    request.answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert caller.received.startswith('HTTP/1.1 504')
    assert caller.received.count('HTTP/1.1') == 1


def test_non_idempotent_is_never_hedged(bench: Bench) -> None:
    for _ in range(40):
        bench.router.record_latency(SERVICE, 0.01)
    bench.call(POST)
    bench.advance(5)
    assert len(bench.requests()) == 1


def test_budget_bounds_retries_in_an_outage(tmp_path: Path) -> None:
    bench = Bench(tmp_path, agents=3)
    for _ in range(200):
        seen = len(bench.requests())
        bench.call(GET)
        answered = seen
        while answered < len(bench.requests()):
            for request in bench.requests():
                if not request.stream.sent_end:
                    answered += 1
                    request.refuse(Verdict.unknown, 'backend is down')
            bench.pump()
    assert len(bench.requests()) <= 200 + 10 + 20

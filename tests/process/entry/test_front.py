"""Tests of the HTTP server for callers: limits, framing and flow control."""

from pathlib import Path
from typing import Any

import pytest
from twisted.internet.testing import StringTransport

from tests.process.entry.fakes import EntryHarness
from wasabiturn.connection.client_guard import ClientBounds, ClientGuard
from wasabiturn.messages.state import Header
from wasabiturn.process.entry.front import CallerFactory

GET = 'GET /standdesk/x HTTP/1.1\r\nHost: x\r\n\r\n'


@pytest.fixture
def harness(tmp_path: Path) -> EntryHarness:
    return EntryHarness(tmp_path)


@pytest.mark.parametrize(
    'text',
    [
        'nonsense\r\n\r\n',
        'GET http://other/standdesk/x HTTP/1.1\r\nHost: x\r\n\r\n',
        'OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n',
        'CONNECT other:80 HTTP/1.1\r\nHost: x\r\n\r\n',
        'GET /standdesk/x HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n',
        'GET /standdesk/x HTTP/1.1\r\nWasabiturn-Timeout-Ms: soon\r\n\r\n',
        'POST /standdesk/x HTTP/1.1\r\nWasabiturn-Idempotent: maybe\r\n'
        'Content-Length: 0\r\n\r\n',
        'POST /standdesk/x HTTP/1.1\r\nContent-Length: 1\r\n'
        'Content-Length: 2\r\n\r\nab',
        'POST /standdesk/x HTTP/1.1\r\nContent-Length: 3\r\n'
        'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        'POST /standdesk/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
        'Content-Length: 3\r\n\r\n0\r\n\r\n',
        'POST /standdesk/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
        'POST /standdesk/x HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc',
        'POST /standdesk/x HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n',
        'GET /standdesk/x HTTP/1.1\r\nX: ' + 'y' * 20000 + '\r\n\r\n',
        'GET /standdesk/' + 'y' * 20000 + ' HTTP/1.1\r\nHost: x\r\n\r\n',
    ],
)
def test_malformed_request_is_refused(harness: EntryHarness, text: str) -> None:
    caller = harness.call(text)
    assert caller.received.startswith('HTTP/1.1 400')
    assert 'Wasabiturn-Outcome: not-run' in caller.received
    assert not harness.requests()


def test_connection_with_slow_head_is_aborted(harness: EntryHarness) -> None:
    caller = harness.call('GET /standdesk/x HTTP/1.1\r\n')
    for number in range(12):
        caller.send(f'X-{number}: y\r\n')
        harness.advance(1.0, step=0.5)
    assert caller.is_aborted
    assert not harness.requests()


def test_slow_body_is_refused_at_the_deadline(harness: EntryHarness) -> None:
    caller = harness.call(
        'PUT /standdesk/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n'
        'Wasabiturn-Timeout-Ms: 3000\r\n\r\n',
    )
    for _ in range(4):
        caller.send('y')
        harness.advance(1.0, step=0.5)
    assert caller.received.startswith('HTTP/1.1 504')
    (request,) = harness.requests()
    assert request.reset_reason == 'deadline passed'


def test_expect_continue_is_answered_for_accepted_request(
    harness: EntryHarness,
) -> None:
    caller = harness.call(
        'POST /standdesk/x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n'
        'Expect: 100-continue\r\n\r\n',
    )
    assert caller.received == 'HTTP/1.1 100 Continue\r\n\r\n'
    caller.send('hi')
    (request,) = harness.requests()
    assert request.body == b'hi'
    names = [header.name.lower() for header in request.head.headers]
    assert 'expect' not in names


def test_expect_continue_is_not_answered_for_refused_request(
    harness: EntryHarness,
) -> None:
    caller = harness.call(
        'POST /nothing/x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n'
        'Expect: 100-continue\r\n\r\n',
    )
    assert caller.received.startswith('HTTP/1.1 404')
    assert '100 Continue' not in caller.received
    assert caller.is_closed


def test_declared_body_over_the_limit_is_refused(harness: EntryHarness) -> None:
    caller = harness.call(
        'PUT /standdesk/x HTTP/1.1\r\nHost: x\r\n'
        'Content-Length: 1000001\r\n\r\n',
    )
    assert caller.received.startswith('HTTP/1.1 413')
    assert 'Wasabiturn-Outcome: not-run' in caller.received
    assert not harness.requests()


def test_chunked_body_over_the_limit_is_refused(harness: EntryHarness) -> None:
    caller = harness.call(
        'PUT /standdesk/x HTTP/1.1\r\nHost: x\r\n'
        'Transfer-Encoding: chunked\r\n\r\n',
    )
    for _ in range(11):
        caller.send(b'186a0\r\n' + bytes(100_000) + b'\r\n')
    assert caller.received.startswith('HTTP/1.1 413')
    (request,) = harness.requests()
    assert request.reset_reason is not None


def test_body_of_refused_request_is_read_before_closing(
    harness: EntryHarness,
) -> None:
    caller = harness.call(
        'POST /nothing/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab',
    )
    assert caller.received.startswith('HTTP/1.1 404')
    assert not caller.is_closed
    caller.send('cd')
    assert caller.is_closed


def test_connection_stays_open_after_refusal_of_request_without_body(
    harness: EntryHarness,
) -> None:
    refused = 'GET /nothing/x HTTP/1.1\r\nHost: x\r\n\r\n'
    caller = harness.call(refused + GET)
    assert caller.received.startswith('HTTP/1.1 404')
    assert 'Connection: close' not in caller.received
    assert len(harness.requests()) == 1


def test_malformed_chunk_aborts_the_request(harness: EntryHarness) -> None:
    caller = harness.call(
        'POST /standdesk/x HTTP/1.1\r\nHost: x\r\n'
        'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n',
    )
    (request,) = harness.requests()
    assert request.reset_reason is not None
    assert not request.ended
    assert 'not-run' not in caller.received


def test_head_answer_has_no_body(harness: EntryHarness) -> None:
    caller = harness.call('HEAD /standdesk/x HTTP/1.1\r\nHost: x\r\n\r\n')
    harness.requests()[0].answer(b'', 200, (Header('Content-Length', '9'),))
    harness.pump()
    assert caller.received == 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'
    assert not caller.is_aborted


@pytest.mark.parametrize('status', [204, 304])
def test_answer_without_body_keeps_the_connection(
    harness: EntryHarness, status: int
) -> None:
    caller = harness.call(GET)
    harness.requests()[0].answer(b'', status)
    harness.pump()
    assert caller.received.startswith(f'HTTP/1.1 {status} ')
    assert 'chunked' not in caller.received.lower()
    caller.send(GET)
    assert len(harness.requests()) == 2


def test_answer_of_unknown_length_is_chunked(harness: EntryHarness) -> None:
    caller = harness.call(GET)
    harness.requests()[0].answer(b'hello')
    harness.pump()
    assert 'Transfer-Encoding: chunked' in caller.received
    assert caller.received.endswith('5\r\nhello\r\n0\r\n\r\n')


def test_hop_by_hop_headers_are_not_forwarded(harness: EntryHarness) -> None:
    harness.call(
        'GET /standdesk/x HTTP/1.1\r\nHost: x\r\nTE: trailers\r\n'
        'Connection: keep-alive, X-Mine, Content-Length\r\nX-Mine: 1\r\n'
        'X-Kept: 2\r\nContent-Length: 0\r\n\r\n',
    )
    (request,) = harness.requests()
    names = {header.name.lower() for header in request.head.headers}
    assert names == {'host', 'x-kept', 'content-length'}


def test_requests_of_one_connection_are_served_in_order(
    harness: EntryHarness,
) -> None:
    caller = harness.call(GET + GET)
    (first,) = harness.requests()
    first.answer(b'1', 200, (Header('Content-Length', '1'),))
    harness.pump()
    second = next(each for each in harness.requests() if each is not first)
    second.answer(b'2', 200, (Header('Content-Length', '1'),))
    harness.pump()
    assert [part[-1] for part in caller.received.split('HTTP/1.1')[1:]] == [
        '1',
        '2',
    ]


def test_slow_caller_pauses_the_agent(harness: EntryHarness) -> None:
    caller = harness.call(GET)
    (request,) = harness.requests()
    request.begin()
    harness.pump()
    caller.channel.pauseProducing()
    written = 0
    for _ in range(1000):
        if not request.stream.write(bytes(65536)):
            break
        written += 65536
        harness.pump()
    assert written < 600_000
    caller.channel.resumeProducing()
    harness.pump()
    assert request.stream.credit > 0


def test_connection_whose_caller_reads_nothing_is_aborted(
    harness: EntryHarness,
) -> None:
    caller = harness.call(GET)
    (request,) = harness.requests()
    request.begin()
    harness.pump()
    caller.channel.pauseProducing()
    request.stream.write(b'x')
    harness.advance(31, step=0.5)
    assert caller.is_aborted


def test_stalled_answer_is_aborted(harness: EntryHarness) -> None:
    caller = harness.call(GET)
    (request,) = harness.requests()
    request.begin()
    harness.advance(25, step=0.5)
    request.stream.write(b'x')
    harness.advance(31, step=0.5)
    assert not caller.is_aborted
    harness.advance(31, step=0.5)
    assert caller.is_aborted
    assert request.reset_reason == 'the answer has stopped'


def test_slow_agent_pauses_the_caller(harness: EntryHarness) -> None:
    caller = harness.call(
        'PUT /standdesk/x HTTP/1.1\r\nHost: x\r\n'
        'Content-Length: 900000\r\n\r\n',
    )
    (request,) = harness.requests()
    request.hold_credit = True
    sent = 0
    while caller.transport.producerState == 'producing' and sent < 900_000:
        caller.send(bytes(50_000))
        sent += 50_000
    assert sent <= 350_000
    request.release_credit()
    harness.pump()
    assert caller.transport.producerState == 'producing'


def test_health_and_readiness_probes(harness: EntryHarness) -> None:
    probe = 'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n'
    assert harness.call(probe).received.startswith('HTTP/1.1 200')
    harness.session.fresh = False
    assert harness.call(probe).received.startswith('HTTP/1.1 503')
    health = probe.replace('ready', 'health')
    assert harness.call(health).received.startswith('HTTP/1.1 200')


def test_only_idempotent_requests_are_served_without_control_contact(
    harness: EntryHarness,
) -> None:
    harness.session.fresh = False
    harness.call(GET)
    assert len(harness.requests()) == 1
    post = GET.replace('GET', 'POST')
    caller = harness.call(post)
    assert len(harness.requests()) == 1
    assert caller.received.startswith('HTTP/1.1 503')
    assert 'Wasabiturn-Outcome: not-run' in caller.received


def test_body_that_trickles_is_aborted(harness: EntryHarness) -> None:
    """A caller may set a long deadline and send a byte now and then."""
    caller = harness.call(
        'PUT /standdesk/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n'
        'Wasabiturn-Timeout-Ms: 600000\r\n\r\n',
    )
    for _ in range(15):
        caller.send('y')
        harness.advance(1.0, step=0.5)
    assert caller.is_aborted


def test_body_on_a_slow_link_is_read(harness: EntryHarness) -> None:
    caller = harness.call(
        'PUT /standdesk/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n'
        'Wasabiturn-Timeout-Ms: 600000\r\n\r\n',
    )
    for _ in range(15):
        caller.send('y' * 4000)
        harness.advance(1.0, step=0.5)
    assert not caller.is_aborted


def test_there_is_a_bound_on_callers_connections(
    harness: EntryHarness,
) -> None:
    guard = ClientGuard(harness.clock, ClientBounds(10**6, 20, 4))
    harness.factory = CallerFactory(
        harness.clock, harness.admission.create_handler, guard=guard
    )
    for _ in range(40):
        channel: Any = harness.factory.buildProtocol(None)
        if channel is not None:
            channel.makeConnection(StringTransport())
    assert len(guard.clients) <= 16


UPLOAD = 'POST /standdesk/x HTTP/1.1\r\nHost: x\r\nContent-Length: 250000\r\n'


@pytest.mark.parametrize('key', ['', 'Idempotency-Key: k\r\n'])
@pytest.mark.parametrize(
    'framing', ['Content-Length: 1000000', 'Transfer-Encoding: chunked']
)
def test_bodies_that_agents_do_not_take_are_bounded(
    harness: EntryHarness, framing: str, key: str
) -> None:
    """A body that is refused was not passed on, so that it has not run."""
    harness.body_room.max_bytes = 2_000_000
    head = f'POST /standdesk/x HTTP/1.1\r\nHost: x\r\n{key}{framing}\r\n\r\n'
    callers = [harness.call(head) for _ in range(20)]
    refused = [caller for caller in callers if caller.received]
    assert 0 < len(callers) - len(refused) <= 6
    assert harness.body_room.reserved_bytes <= 2_000_000
    for caller in refused:
        assert caller.received.startswith('HTTP/1.1 503')
        assert 'Wasabiturn-Outcome: not-run' in caller.received
        assert 'Retry-After' in caller.received
    for caller in callers:
        caller.hang_up()
    assert harness.body_room.reserved_bytes == 0
    assert not harness.call(head).received


def test_a_single_body_is_passed_on_however_little_room_there_is(
    harness: EntryHarness,
) -> None:
    harness.body_room.max_bytes = 1
    assert not harness.call(f'{UPLOAD}\r\n').received
    assert harness.call(f'{UPLOAD}\r\n').received.startswith('HTTP/1.1 503')
    assert harness.call(GET).received == ''

"""Tests of requests at the agent: slots, bodies, disconnects, silence."""

from typing import Any

import pytest

from tests.process.agent.fakes import ANSWER, AgentHarness, BackendEnd
from wasabiturn.messages.state import Header

PREVIEW: dict[str, Any] = {
    'method': 'GET',
    'path': '/preview',
    'idempotent': True,
}


def answer(harness: AgentHarness, content: bytes) -> None:
    harness.reactor.connections[-1].send(content)
    harness.settle()


def in_use(connections: list[BackendEnd]) -> int:
    """Return the open connections on which a request awaits its answer."""
    return sum(
        not each.is_lost and each.requests > each.answered
        for each in connections
    )


def test_five_entries_never_exceed_slots_and_connections() -> None:
    harness = AgentHarness(slots=8, connections=8, entries=5)
    seen = [
        harness.request(
            entry=number % 5,
            caller=str(number % 3),
            **{**PREVIEW, 'timeout_ms': 200},
        )
        for number in range(100)
    ]
    most_in_use = 0
    for _ in range(20):
        most_in_use = max(most_in_use, in_use(harness.reactor.connections))
        assert harness.reactor.open_connections() <= 8
        busy = [
            each
            for each in harness.reactor.connections
            if each.requests > each.answered
        ]
        for each in busy:
            each.answer(ANSWER)
        harness.advance(0.025)
    assert most_in_use == 8
    outcomes = [each.events[0].split()[0] for each in seen]
    assert set(outcomes) == {'answered', 'not_run'}
    assert all(each.body == b'booked' for each in seen if each.body)


def test_refusals_are_immediate_and_carry_a_retry_delay() -> None:
    harness = AgentHarness(slots=1)
    seen = [
        harness.request(**{**PREVIEW, 'timeout_ms': 200}) for _ in range(20)
    ]
    refused = [each for each in seen if each.head is not None]
    assert len(refused) > 10
    assert all(each.head.retry_after_ms >= 50 for each in refused if each.head)


def test_queued_request_is_refused_before_its_deadline() -> None:
    harness = AgentHarness(slots=1)
    harness.request(**PREVIEW)
    queued = harness.request(**{**PREVIEW, 'timeout_ms': 300})
    harness.advance(0.2)
    assert queued.events == ['not_run 0', 'end after 0 bytes']


@pytest.mark.parametrize(
    ('method', 'content', 'events'),
    [
        (
            'HEAD',
            b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n',
            ['answered 200', 'end after 0 bytes'],
        ),
        (
            'GET',
            b'HTTP/1.1 204 No Content\r\n\r\n',
            ['answered 204', 'end after 0 bytes'],
        ),
        (
            'GET',
            b'HTTP/1.1 304 Not Modified\r\nETag: "a"\r\n\r\n',
            ['answered 304', 'end after 0 bytes'],
        ),
        (
            'GET',
            b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + ANSWER,
            ['answered 200', 'end after 6 bytes'],
        ),
        (
            'GET',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nboo\r\n3\r\nked\r\n0\r\n\r\n',
            ['answered 200', 'end after 6 bytes'],
        ),
        (
            'GET',
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
            b'Content-Length: 4\r\n\r\nabcd',
            ['unknown 0', 'end after 0 bytes'],
        ),
        (
            'GET',
            b'BOOKED 200 OK\r\n\r\n',
            ['unknown 0', 'end after 0 bytes'],
        ),
    ],
)
def test_response_formats(
    method: str, content: bytes, events: list[str]
) -> None:
    harness = AgentHarness()
    seen = harness.request(**{**PREVIEW, 'method': method})
    answer(harness, content)
    assert seen.events == events
    assert not harness.table.started_by_ticket


@pytest.mark.parametrize(
    'content',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nboo',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nboo\r\n',
        b'HTTP/1.1 200 OK\r\n\r\nboo',
    ],
)
def test_answer_that_may_be_truncated_is_reset(content: bytes) -> None:
    harness = AgentHarness()
    seen = harness.request(**PREVIEW)
    answer(harness, content)
    harness.reactor.connections[0].lose()
    harness.settle()
    assert seen.body == b'boo'
    assert seen.events[-1] == 'reset: answer of the backend broke off'


def test_hop_by_hop_headers_are_dropped_both_ways() -> None:
    harness = AgentHarness()
    names = ('Connection', 'X-Hop', 'Keep-Alive', 'Expect', 'X-End')
    sent = [Header(name=name, value='x-hop') for name in names]
    seen = harness.request(headers=sent, **PREVIEW)
    received = harness.reactor.connections[0].received.lower()
    answer(
        harness,
        b'HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: 5\r\n'
        b'X-End: 2\r\nContent-Length: 0\r\n\r\n',
    )
    lines = {line.split(b':')[0] for line in received.split(b'\r\n')[1:]}
    assert lines == {b'host', b'x-end', b''}
    assert seen.head is not None
    back = {header.name.lower() for header in seen.head.headers}
    assert back == {'x-end', 'content-length'}


@pytest.mark.parametrize('lengths', [['3', '4'], ['x'], ['-1'], ['4']])
def test_request_with_wrong_length_does_not_run(lengths: list[str]) -> None:
    harness = AgentHarness()
    sent = [Header(name='Content-Length', value=each) for each in lengths]
    seen = harness.request(b'abc', headers=sent)
    assert seen.events == ['not_run 0', 'end after 0 bytes']
    assert harness.runs() == 0


def test_slow_reader_pauses_the_backend_within_the_window() -> None:
    harness = AgentHarness()
    seen = harness.request(consume=False, **PREVIEW)
    connection = harness.reactor.connections[0]
    connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n')
    harness.settle()
    sent = 0
    while connection.transport.producerState == 'producing':
        connection.send(bytes(65536))
        sent += 65536
        harness.settle()
    assert sent <= 327680
    assert seen.stream is not None
    seen.stream.consumed(sent)
    harness.settle()
    assert connection.transport.producerState == 'producing'


def test_large_upload_is_streamed() -> None:
    harness = AgentHarness()
    seen = harness.request(bytes(65536), end=False, idempotent=True)
    connection = harness.reactor.connections[0]
    assert b'Transfer-Encoding: chunked' in connection.received
    stream = seen.stream
    assert stream is not None
    for _ in range(20):
        assert stream.write(bytes(65536))
        harness.settle()
    stream.end()
    harness.settle()
    answer(harness, ANSWER)
    assert seen.events[-1] == 'end after 6 bytes'
    assert len(connection.received) > 21 * 65536


def test_disconnect_frees_the_slot_of_an_idempotent_request() -> None:
    harness = AgentHarness(slots=1)
    seen = harness.request(**PREVIEW)
    waiting = harness.request(**PREVIEW)
    assert seen.stream is not None
    seen.stream.reset('caller hung up')
    harness.settle()
    assert harness.reactor.connections[0].is_lost
    answer(harness, ANSWER)
    assert waiting.events[-1] == 'end after 6 bytes'


def test_non_idempotent_request_keeps_its_slot_after_a_disconnect() -> None:
    harness = AgentHarness(slots=1)
    seen = harness.request(b'stand=7')
    waiting = harness.request(**PREVIEW)
    assert seen.stream is not None
    seen.stream.reset('caller hung up')
    harness.settle()
    assert harness.runs() == 1
    answer(harness, ANSWER)
    assert harness.runs() == 2
    answer(harness, ANSWER)
    assert waiting.events[-1] == 'end after 6 bytes'


def test_silent_connection_is_detected_while_others_work() -> None:
    harness = AgentHarness(slots=2)
    silent = harness.request(**PREVIEW)
    for _ in range(4):
        harness.advance(0.45)
        harness.request(**PREVIEW)
        answer(harness, ANSWER)
    assert silent.events == ['unknown 0', 'end after 0 bytes']


@pytest.mark.parametrize(
    'kept',
    [{'idempotent': False, 'method': 'POST'}, {'attempt': 2}],
)
def test_slow_request_that_must_not_be_repeated_is_not_aborted(
    kept: dict[str, Any],
) -> None:
    harness = AgentHarness(slots=2)
    slow = harness.request(**{**PREVIEW, **kept})
    for _ in range(6):
        harness.advance(0.45)
        harness.request(**PREVIEW)
        answer(harness, ANSWER)
    harness.reactor.connections[0].send(ANSWER)
    harness.settle()
    assert slow.events == ['answered 200', 'end after 6 bytes']


def test_old_idle_connection_is_not_used_for_a_non_idempotent_request() -> None:
    harness = AgentHarness()
    harness.request(**PREVIEW)
    answer(harness, ANSWER)
    harness.advance(1.5)
    harness.request(b'stand=7')
    assert harness.reactor.connections[0].is_lost
    assert len(harness.reactor.connections) == 2


def test_silent_backend_server_gets_no_new_work() -> None:
    harness = AgentHarness()
    running = harness.request(**PREVIEW)
    harness.advance(3.1)
    harness.backends.expire(harness.reactor.seconds(), 3.0)
    refused = harness.request(**PREVIEW)
    assert refused.events == ['not_run 0', 'end after 0 bytes']
    assert not harness.backends.records()
    answer(harness, ANSWER)
    assert running.events[-1] == 'end after 6 bytes'
    harness.backends.announce(harness.record)
    harness.request(**PREVIEW)
    assert harness.runs() == 2


def test_backend_server_that_refuses_connections_gets_no_new_work() -> None:
    harness = AgentHarness()
    changes: list[int] = []
    harness.backends.on_change.append(lambda: changes.append(1))
    harness.reactor.accepts = False
    first = harness.request(**PREVIEW)
    queued = harness.request(**PREVIEW)
    harness.reactor.refuse()
    harness.settle()
    later = harness.request(**PREVIEW)
    refused = ['not_run 0', 'end after 0 bytes']
    assert [first.events, queued.events, later.events] == [refused] * 3
    assert changes
    assert not harness.backends.records()
    harness.reactor.accepts = True
    harness.backends.announce(harness.record)
    harness.request(**PREVIEW)
    assert harness.runs() == 1

"""Raw bytes of clients of an HTTP site."""

import socket
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from wasabiturn.connection.http_limits import (
    IDLE_TIMEOUT_SECONDS,
    MAX_BODY_BYTES,
)
from wasabiturn.connection.http_messages import HttpRequest, HttpResponse
from wasabiturn.connection.http_site import HttpSite
from wasabiturn.connection.request_queue import MAX_QUEUED_REQUESTS
from wasabiturn.utils.pauses import PauseDetector

GET = b'GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc'


class Server:
    """Site whose handler keeps requests until the test answers them."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.requests: list[HttpRequest] = []
        self.answers: list[Deferred[HttpResponse]] = []
        self.site = HttpSite(self.handle, self.clock)
        self.connection = self.site.buildProtocol(None)
        self.transport = StringTransport()
        self.connection.makeConnection(self.transport)

    def handle(self, request: HttpRequest) -> Deferred[HttpResponse]:
        self.requests.append(request)
        answer: Deferred[HttpResponse] = Deferred()
        self.answers.append(answer)
        return answer

    def answer(self, number: int, body: bytes) -> None:
        self.answers[number].callback(HttpResponse(200, body))
        self.turn()

    def receive(self, *parts: bytes) -> None:
        for part in parts:
            self.connection.dataReceived(part)
        self.turn()

    def turn(self) -> None:
        """Let the loop read, and handle what has waited for that."""
        self.clock.pump([0, 0])

    @property
    def sent(self) -> bytes:
        return self.transport.value()


def test_a_request_in_pieces_is_handled_once_it_is_whole() -> None:
    server = Server()
    server.receive(*(POST[i : i + 1] for i in range(len(POST))))
    (request,) = server.requests
    assert (request.method, request.path) == ('POST', '/a')
    assert request.body == b'abc'
    assert request.headers_by_name['host'] == 'x'


def test_the_query_is_not_part_of_the_path() -> None:
    server = Server()
    server.receive(GET)
    assert server.requests[0].path == '/a'


def test_pipelined_requests_are_answered_in_their_order() -> None:
    server = Server()
    server.receive(GET + POST)
    assert len(server.requests) == 1
    server.answer(0, b'first')
    server.answer(1, b'second')
    assert server.sent.index(b'first') < server.sent.index(b'second')


def test_a_client_that_does_not_wait_for_answers_is_paused() -> None:
    server = Server()
    server.receive(GET * (MAX_QUEUED_REQUESTS + 2))
    assert server.transport.producerState == 'paused'
    for number in range(MAX_QUEUED_REQUESTS + 2):
        server.answer(number, b'')
    assert server.transport.producerState == 'producing'


@pytest.mark.parametrize(
    ('garbage', 'status'),
    [
        (b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03', 400),
        (b'GET / HTTP/1.1\r\nContent-Length: many\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nX: ' + b'x' * 100_000 + b'\r\n\r\n', 431),
        (
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
            400,
        ),
        (
            b'POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n'
            + b'x' * (MAX_BODY_BYTES + 1),
            413,
        ),
        (
            b'GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
            400,
        ),
    ],
)
def test_malformed_requests_are_refused_and_end_the_connection(
    garbage: bytes, status: int
) -> None:
    server = Server()
    server.receive(garbage)
    assert server.sent.startswith(f'HTTP/1.1 {status} '.encode())
    assert server.transport.disconnecting


def test_a_handler_that_raises_leads_to_status_500() -> None:
    server = Server()

    def fail_to_handle(request: HttpRequest) -> Any:
        raise RuntimeError('internal error')

    server.site.handle = fail_to_handle
    server.receive(GET)
    assert server.sent.startswith(b'HTTP/1.1 500 ')
    assert not server.transport.disconnecting


def test_the_answer_to_a_lost_client_is_dropped() -> None:
    server = Server()
    server.receive(GET + GET)
    server.connection.connectionLost()
    server.connection.connected = False
    server.answer(0, b'late')
    assert server.sent == b''
    assert len(server.requests) == 1


def test_a_client_that_asks_for_it_is_told_to_send_its_body() -> None:
    server = Server()
    head, _, _ = POST.partition(b'abc')
    server.receive(head[:-2] + b'Expect: 100-continue\r\n\r\n')
    assert server.sent == b'HTTP/1.1 100 Continue\r\n\r\n'
    server.receive(b'abc')
    assert server.requests[0].body == b'abc'


@pytest.mark.parametrize(
    'request_bytes',
    [
        b'GET / HTTP/1.1\r\nConnection: close\r\n\r\n',
        b'GET / HTTP/1.0\r\n\r\n',
        b'HEAD / HTTP/1.1\r\n\r\n',
    ],
)
def test_the_connection_ends_if_it_cannot_be_kept(request_bytes: bytes) -> None:
    server = Server()
    server.receive(request_bytes)
    server.answer(0, b'')
    assert b'\r\nConnection: close\r\n' in server.sent
    assert server.transport.disconnecting


def test_a_closing_site_ends_connections_with_their_next_response() -> None:
    server = Server()
    server.receive(GET)
    server.site.is_closing = True
    server.answer(0, b'')
    assert b'\r\nConnection: close\r\n' in server.sent
    assert server.transport.disconnecting


def test_an_idle_connection_is_closed() -> None:
    server = Server()
    server.clock.advance(IDLE_TIMEOUT_SECONDS - 1)
    server.receive(GET)
    server.answer(0, b'')
    server.clock.advance(IDLE_TIMEOUT_SECONDS - 1)
    assert not server.transport.disconnecting
    server.clock.advance(2)
    assert server.transport.disconnecting


def test_request_whose_client_has_gone_is_not_handled() -> None:
    server = Server()
    server.connection.dataReceived(POST)
    server.connection.connectionLost()
    server.turn()
    assert not server.requests


@pytest.mark.parametrize(('client_stays', 'handled'), [(True, 1), (False, 0)])
def test_end_of_the_connection_that_waits_behind_a_request_is_read_first(
    client_stays: bool, handled: int
) -> None:
    reactor = EPollReactor()
    requests: list[HttpRequest] = []

    def handle(request: HttpRequest) -> HttpResponse:
        requests.append(request)
        return HttpResponse(200)

    port = reactor.listenTCP(
        0, HttpSite(handle, reactor), interface='127.0.0.1'
    )
    with socket.create_connection(('127.0.0.1', port.getHost().port)) as client:
        client.sendall(POST)
        if not client_stays:
            client.close()
        for _ in range(20):
            reactor.iterate(0.01)
    port.stopListening()
    reactor.iterate(0)
    assert len(requests) == handled


def test_handling_is_cancelled_when_the_client_goes() -> None:
    server = Server()
    server.receive(POST)
    server.connection.connectionLost()
    assert server.answers[0].called
    assert server.sent == b''


def test_request_that_waited_while_the_process_stood_still_is_refused() -> None:
    server = Server()
    detector = PauseDetector(server.clock)
    detector.start()
    server.site = HttpSite(server.handle, server.clock, detector)
    server.connection = server.site.buildProtocol(None)
    server.transport = StringTransport()
    server.connection.makeConnection(server.transport)
    server.clock.advance(6)
    server.receive(POST)
    assert server.sent.startswith(b'HTTP/1.1 503 ')
    assert b'\r\nRetry-After: 1\r\n' in server.sent
    server.clock.pump([0.1] * 5)
    server.receive(POST)
    assert len(server.requests) == 1

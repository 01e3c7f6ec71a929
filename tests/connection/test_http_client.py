"""Connections of the HTTP client of one server."""

from typing import Any

import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.http_client import HttpClient, HttpTimeoutError
from wasabiturn.connection.http_messages import (
    HttpError,
    HttpRequest,
    HttpResponse,
)

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
REQUEST = HttpRequest('POST', '/a', {'X-Name': 'y'}, b'abc')


class Transport(StringTransport):
    """Transport of a test that records an abort."""

    is_aborted = False

    def abortConnection(self) -> None:
        self.is_aborted = True

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""


class Server:
    """The far side of the connections of one client."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.client = HttpClient(Endpoint('10.0.0.1', 80), self.reactor, 0.5)
        self.connections: list[Any] = []
        self.transports: list[Transport] = []
        self.results: list[Any] = []

    def send(self) -> None:
        sent = self.client.send(REQUEST, timeout_seconds=1.0)
        sent.addBoth(self.results.append)

    def accept(self) -> None:
        factory = self.reactor.tcpClients[len(self.connections)][2]
        connection = factory.buildProtocol(None)
        transport = Transport()
        connection.makeConnection(transport)
        self.connections.append(connection)
        self.transports.append(transport)

    def answer(self, number: int, answer: bytes = OK) -> None:
        self.connections[number].dataReceived(answer)


def test_a_request_is_written_once_the_connection_is_open() -> None:
    server = Server()
    server.send()
    server.accept()
    assert server.transports[0].value() == (
        b'POST /a HTTP/1.1\r\nHost: 10.0.0.1:80\r\n'
        b'Content-Length: 3\r\nX-Name: y\r\n\r\nabc'
    )
    server.answer(0)
    assert server.results == [HttpResponse(200, b'ok')]


def test_a_connection_is_used_again() -> None:
    server = Server()
    for _ in range(2):
        server.send()
        if not server.connections:
            server.accept()
        server.answer(0)
    assert len(server.reactor.tcpClients) == 1
    assert len(server.results) == 2


def test_requests_at_the_same_time_take_connections_of_their_own() -> None:
    server = Server()
    server.send()
    server.send()
    server.accept()
    server.accept()
    server.answer(1)
    server.answer(0)
    assert len(server.results) == 2


def test_a_response_in_pieces_without_a_length_is_read() -> None:
    server = Server()
    server.send()
    server.accept()
    chunked = (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n'
    )
    for at in range(len(chunked)):
        server.answer(0, chunked[at : at + 1])
    assert server.results == [HttpResponse(200, b'ok')]


def test_an_interim_response_is_passed_over() -> None:
    server = Server()
    server.send()
    server.accept()
    server.answer(0, b'HTTP/1.1 100 Continue\r\n\r\n' + OK)
    assert server.results == [HttpResponse(200, b'ok')]


def test_after_a_timeout_no_open_connection_is_used_again() -> None:
    server = Server()
    server.send()
    server.send()
    server.accept()
    server.accept()
    server.answer(1)
    server.reactor.advance(1.1)
    assert isinstance(server.results[1].value, HttpTimeoutError)
    assert all(each.is_aborted for each in server.transports)
    server.send()
    assert len(server.reactor.tcpClients) == 3


def test_a_connection_that_opens_after_the_timeout_sends_nothing() -> None:
    server = Server()
    server.send()
    server.reactor.advance(1.1)
    server.accept()
    assert server.transports[0].value() == b''
    assert server.transports[0].is_aborted


def test_a_refused_connection_fails_the_request() -> None:
    server = Server()
    server.send()
    factory = server.reactor.tcpClients[0][2]
    refused = Failure(error.ConnectionRefusedError())
    factory.clientConnectionFailed(None, refused)
    assert isinstance(server.results[0].value, error.ConnectionRefusedError)


@pytest.mark.parametrize(
    'garbage', [b'no http\r\n\r\n', b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n']
)
def test_a_malformed_response_ends_the_connection(garbage: bytes) -> None:
    server = Server()
    server.send()
    server.accept()
    server.answer(0, garbage)
    assert isinstance(server.results[0].value, HttpError)
    assert server.transports[0].is_aborted


def test_a_connection_that_the_server_closes_is_not_used_again() -> None:
    server = Server()
    server.send()
    server.accept()
    server.answer(0)
    server.connections[0].connectionLost(
        Failure(error.ConnectionRefusedError())
    )
    server.send()
    assert len(server.reactor.tcpClients) == 2


def test_bytes_that_nobody_asked_for_end_the_connection() -> None:
    server = Server()
    server.send()
    server.accept()
    server.answer(0, OK + OK)
    assert server.transports[0].is_aborted
    server.send()
    assert len(server.reactor.tcpClients) == 2


def test_request_is_not_sent_once_its_time_has_passed_while_paused() -> None:
    """The process stands still before the connection opens; no timer fires."""
    server = Server()
    server.send()
    server.reactor.rightNow += 5
    server.accept()
    assert not server.transports[0].value()
    assert server.results[0].check(HttpTimeoutError)


def test_connection_that_answered_beside_a_timeout_is_used_again() -> None:
    """Only the request was left unanswered; the way to the server is fine."""
    server = Server()
    server.send()
    server.send()
    server.accept()
    server.accept()
    server.reactor.advance(0.5)
    server.answer(1)
    server.reactor.advance(0.6)
    server.send()
    assert len(server.reactor.tcpClients) == 2
    assert not server.transports[1].is_aborted

"""Calls of an agent to its worker, whose lives share a name and an address."""

import json
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from tests.connection.test_http_client import Transport
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.messages.batch import StartOrder
from wasabiturn.platform.worker_client import HttpWorker
from wasabiturn.process.agent.runs.port import (
    HoldRequest,
    OrderNotSentError,
    OrderRefusedError,
    WorkerIdentity,
)

BORN_MS = 1_700_000_000_000
NEXT_BORN_MS = BORN_MS + 9000
IDENTITY = WorkerIdentity(
    worker='i-1',
    born_ms=BORN_MS,
    service_name='service',
    data_centre='dc',
    rack='r',
    labels=(),
    millicores=1000,
    memory_mb=1000,
    accelerators=0,
)
HOLD = HoldRequest(fence=7, acknowledged=3, lease_until_ms=9000, wait_ms=1000)


class WorkerAddress:
    """Address of a worker; the test answers on each connection."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.worker = HttpWorker(Endpoint('10.0.0.1', 80), self.reactor)
        self.connections: list[Any] = []
        self.results: list[Any] = []

    def start(self) -> None:
        order = StartOrder(task='j.0.0.0', run=1, payload='p')
        sent = self.worker.start(IDENTITY, order, 7, 9000)
        sent.addBoth(self.results.append)

    def hold(self) -> None:
        self.worker.hold(IDENTITY, HOLD).addBoth(self.results.append)

    def accept(self) -> int:
        """Accept the next connection; return its number."""
        number = len(self.connections)
        factory = self.reactor.tcpClients[number][2]
        connection = factory.buildProtocol(None)
        connection.makeConnection(Transport())
        self.connections.append(connection)
        return number

    def take_request(self, number: int) -> tuple[str, Any]:
        """Return path and body of the newest request on a connection."""
        transport = self.connections[number].transport
        head, _, body = transport.value().partition(b'\r\n\r\n')
        transport.clear()
        return head.split(b' ')[1].decode(), json.loads(body)

    def answer(
        self, number: int, fields: dict[str, Any], status: str = '200 OK'
    ) -> None:
        body = json.dumps(fields).encode()
        head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
        self.connections[number].dataReceived(head.encode() + body)

    def list_runs(self, number: int, born_ms: int) -> None:
        fields = {'clock_ms': 1, 'born': born_ms, 'running': [], 'ended': []}
        self.answer(number, fields)

    def error(self) -> Any:
        failure = self.results[-1]
        assert isinstance(failure, Failure)
        return failure.value


def test_start_order_does_not_reach_the_next_life() -> None:
    address = WorkerAddress()
    address.start()
    number = address.accept()
    path, body = address.take_request(number)
    assert (path, body) == ('/api/hold', {'fence': 7, 'acked_upto': 0})
    address.list_runs(number, NEXT_BORN_MS)
    assert isinstance(address.error(), OrderNotSentError)
    assert not address.connections[number].transport.value()


def test_start_order_goes_to_the_life_that_has_listed_its_runs() -> None:
    address = WorkerAddress()
    address.start()
    number = address.accept()
    address.take_request(number)
    address.list_runs(number, BORN_MS)
    assert address.take_request(number)[0] == '/api/run-start'
    address.answer(number, {'clock_ms': 42})
    address.start()
    assert address.take_request(number)[0] == '/api/run-start'
    assert address.results == [42]


def test_start_order_is_not_sent_again_on_a_connection_that_was_lost() -> None:
    address = WorkerAddress()
    address.hold()
    first = address.accept()
    address.list_runs(first, BORN_MS)
    address.connections[first].connectionLost(Failure(ConnectionDone()))
    address.start()
    assert address.take_request(address.accept())[0] == '/api/hold'


def test_next_life_gets_no_acknowledgement_of_the_life_before() -> None:
    address = WorkerAddress()
    address.hold()
    number = address.accept()
    body = address.take_request(number)[1]
    assert (body['until_ms'], body['acked_upto']) == (9000, 0)
    address.list_runs(number, NEXT_BORN_MS)
    assert address.results[0].born_ms == NEXT_BORN_MS
    address.hold()
    assert address.take_request(number)[1]['acked_upto'] == 0


def test_ends_are_acknowledged_to_the_life_that_has_listed_them() -> None:
    address = WorkerAddress()
    address.hold()
    number = address.accept()
    address.take_request(number)
    address.list_runs(number, BORN_MS)
    address.hold()
    body = address.take_request(number)[1]
    assert (body['until_ms'], body['acked_upto']) == (9000, 3)


def test_start_order_was_not_sent_if_no_life_answers() -> None:
    address = WorkerAddress()
    address.start()
    address.accept()
    address.reactor.advance(1)
    assert isinstance(address.error(), OrderNotSentError)


def test_refused_confirmation_refuses_the_start() -> None:
    address = WorkerAddress()
    address.start()
    number = address.accept()
    address.answer(number, {'reason': 'fence'}, '409 Conflict')
    error = address.error()
    assert isinstance(error, OrderRefusedError)
    assert error.reason == 'fence'

"""Tests of the worker client against the stand-in worker, in memory."""

from typing import Any

import pytest
from twisted.internet import error as tcp_errors
from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure
from twisted.web.resource import Resource

from tests.connection.fakes import PipeTransport
from wasabiturn.connection.worker import WorkerClient, create_worker_client
from wasabiturn.connection.worker_messages import (
    RefusedByPlatformError,
    RunName,
    RunRequest,
    WorkerDownError,
)
from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.kinds import AttemptState, Kind
from wasabiturn.messages.state import Capacity
from wasabiturn.standins.worker import StandInWorker, create_worker_site

RUN_SIZE = Capacity(2, 1000, 0)
RUN_NAME = RunName(task='cut.0', attempt=7)


class Harness:
    """Worker client connected in memory to the stand-in worker's site."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.worker = StandInWorker(self.reactor, Capacity(8, 8000, 1), {})
        self.site = create_worker_site(self.worker)
        self.client: WorkerClient = create_worker_client(
            'http://127.0.0.1:9100/',
            self.reactor,
        )
        self.connections: list[tuple[Any, Any]] = []

    def wait_for(self, call: Deferred[Any]) -> Any:
        results: list[Any] = []
        call.addBoth(results.append)
        for _ in range(10):
            self._accept()
            for client, server in self.connections:
                _move(client, server)
                _move(server, client)
        if results and hasattr(results[0], 'raiseException'):
            results[0].raiseException()
        return results[0] if results else None

    def _accept(self) -> None:
        while len(self.connections) < len(self.reactor.tcpClients):
            factory = self.reactor.tcpClients[len(self.connections)][2]
            address = IPv4Address('TCP', '127.0.0.1', 9100)
            sides = (
                factory.buildProtocol(address),
                self.site.buildProtocol(address),
            )
            self.connections.append(tuple(map(_connect, sides)))


class BrokenGateway(Resource):
    """Carries requests out, then loses the answers."""

    isLeaf = True  # noqa: N815 - name given by twisted.web

    def __init__(self, behind: Any, status: int) -> None:
        super().__init__()
        self.behind = behind
        self.status = status

    def render(self, request: Any) -> bytes:
        self.behind.render(request)
        request.setResponseCode(self.status)
        return b'{"error": "the answer is lost"}'


def _connect(protocol: Any) -> tuple[Any, PipeTransport]:
    transport = PipeTransport()
    protocol.makeConnection(transport)
    return protocol, transport


def _move(source: Any, target: Any) -> None:
    written = source[1].value()
    source[1].clear()
    if written:
        target[0].dataReceived(written)


def create_request(now: float, **fields: Any) -> RunRequest:
    values = {
        'task': RUN_NAME.task,
        'attempt': RUN_NAME.attempt,
        'size': RUN_SIZE,
        'task_kind': 'render',
        'owner_kind': Kind.job,
        'command': '',
        'checkpoint': '',
        'run_seconds': 100.0,
        'throttle': 1.0,
        'start_until': now + 1,
        'lease_until': now + 10,
    }
    return RunRequest(**{**values, **fields})


def test_run_is_started_listed_checkpointed_and_stopped() -> None:
    harness = Harness()
    harness.wait_for(harness.client.fetch_listing())
    harness.wait_for(harness.client.start(create_request(0)))
    harness.wait_for(harness.client.throttle(RUN_NAME, 0.5))
    harness.reactor.advance(4)
    assert harness.wait_for(harness.client.checkpoint(RUN_NAME)) == '2.000'
    harness.wait_for(harness.client.stop(RUN_NAME))
    listing = harness.wait_for(harness.client.fetch_listing())
    assert listing.capacity == Capacity(8, 8000, 1)
    (run,) = listing.runs
    assert run.state is AttemptState.stopped
    assert run.checkpoint == '2.000'
    harness.wait_for(harness.client.forget(RUN_NAME))
    assert harness.wait_for(harness.client.fetch_listing()).runs == ()


def test_run_ends_when_its_lease_is_not_renewed() -> None:
    harness = Harness()
    harness.wait_for(harness.client.fetch_listing())
    harness.wait_for(harness.client.start(create_request(0)))
    harness.reactor.advance(5)
    harness.wait_for(harness.client.renew([RUN_NAME], 15))
    harness.reactor.advance(9)
    assert len(harness.worker.runs.running()) == 1
    harness.reactor.advance(1)
    assert harness.worker.runs.running() == []


def test_late_start_is_refused() -> None:
    harness = Harness()
    harness.wait_for(harness.client.fetch_listing())
    harness.reactor.advance(3)
    call = harness.client.start(create_request(0))
    with pytest.raises(RefusedByPlatformError, match='late'):
        harness.wait_for(call)


def test_start_for_an_incarnation_that_has_ended_is_refused() -> None:
    harness = Harness()
    before = harness.wait_for(harness.client.fetch_listing()).incarnation
    harness.worker.restart()
    call = harness.client.start(create_request(0, incarnation=before))
    with pytest.raises(RefusedByPlatformError, match='incarnation'):
        harness.wait_for(call)
    after = harness.wait_for(harness.client.fetch_listing()).incarnation
    harness.wait_for(harness.client.start(create_request(0, incarnation=after)))
    assert len(harness.worker.runs.running()) == 1


def test_older_attempt_is_refused() -> None:
    harness = Harness()
    harness.wait_for(harness.client.fetch_listing())
    harness.wait_for(harness.client.start(create_request(0)))
    older = harness.client.start(create_request(0, attempt=6))
    with pytest.raises(RefusedByPlatformError, match='seen'):
        harness.wait_for(older)


@pytest.mark.parametrize('status', [500, 502, 503, 504])
def test_start_with_a_lost_answer_is_not_taken_for_refused(status: int) -> None:
    harness = Harness()
    harness.wait_for(harness.client.fetch_listing())
    resource = harness.site.resource
    harness.site.resource = BrokenGateway(resource, status)
    with pytest.raises(PlatformError) as raised:
        harness.wait_for(harness.client.start(create_request(0)))
    assert len(harness.worker.runs.running()) == 1
    assert not isinstance(raised.value, RefusedByPlatformError)


def test_call_fails_when_the_worker_does_not_answer() -> None:
    harness = Harness()
    failures: list[Any] = []
    harness.client.fetch_listing().addErrback(failures.append)
    harness.reactor.advance(2.1)
    assert failures[0].check(PlatformError)


def test_worker_where_nothing_listens_is_down() -> None:
    harness = Harness()
    failed: list[Any] = []
    harness.client.fetch_listing().addErrback(failed.append)
    factory = harness.reactor.tcpClients[0][2]
    error = tcp_errors.ConnectionRefusedError(string='refused')
    factory.clientConnectionFailed(None, Failure(error))
    harness.reactor.advance(0.5)
    assert failed[0].check(WorkerDownError)

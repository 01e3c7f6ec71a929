"""Worker client against the stand-in worker's HTTP, without sockets."""

from typing import Any

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from tests.connection.fakes import PipeTransport
from wasabiturn.connection.worker import WorkerClient, create_worker_client
from wasabiturn.connection.worker_messages import (
    RefusedByPlatformError,
    RunName,
    RunRequest,
)
from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.kinds import AttemptState, Kind
from wasabiturn.messages.state import Capacity
from wasabiturn.standins.worker import StandInWorker, create_worker_site

SIZE = Capacity(2, 1000, 0)
NAME = RunName(task='cut.0', attempt=7)


class Wire:
    """Moves bytes between the client's connections and the site."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.worker = StandInWorker(self.reactor, Capacity(8, 8000, 1), {})
        self.site = create_worker_site(self.worker)
        self.client: WorkerClient = create_worker_client(
            'http://127.0.0.1:9100/',
            self.reactor,
        )
        self.pairs: list[tuple[Any, Any]] = []

    def settle(self, asked: Deferred[Any]) -> Any:
        results: list[Any] = []
        asked.addBoth(results.append)
        for _ in range(10):
            self._accept()
            for client, server in self.pairs:
                _move(client, server)
                _move(server, client)
        if results and hasattr(results[0], 'raiseException'):
            results[0].raiseException()
        return results[0] if results else None

    def _accept(self) -> None:
        while len(self.pairs) < len(self.reactor.tcpClients):
            factory = self.reactor.tcpClients[len(self.pairs)][2]
            address = IPv4Address('TCP', '127.0.0.1', 9100)
            pair = (
                factory.buildProtocol(address),
                self.site.buildProtocol(address),
            )
            self.pairs.append(tuple(map(_connect, pair)))


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
        'task': NAME.task,
        'attempt': NAME.attempt,
        'size': SIZE,
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


def test_run_is_started_listed_checkpointed_stopped() -> None:
    wire = Wire()
    wire.settle(wire.client.fetch_listing())
    wire.settle(wire.client.start(create_request(0)))
    wire.settle(wire.client.throttle(NAME, 0.5))
    wire.reactor.advance(4)
    assert wire.settle(wire.client.checkpoint(NAME)) == '2.000'
    wire.settle(wire.client.stop(NAME))
    listing = wire.settle(wire.client.fetch_listing())
    assert listing.capacity == Capacity(8, 8000, 1)
    (run,) = listing.runs
    assert run.state is AttemptState.stopped
    assert run.checkpoint == '2.000'
    wire.settle(wire.client.forget(NAME))
    assert wire.settle(wire.client.fetch_listing()).runs == ()


def test_lease_ends_unless_it_is_renewed() -> None:
    wire = Wire()
    wire.settle(wire.client.fetch_listing())
    wire.settle(wire.client.start(create_request(0)))
    wire.reactor.advance(5)
    wire.settle(wire.client.renew([NAME], 15))
    wire.reactor.advance(9)
    assert len(wire.worker.runs.running()) == 1
    wire.reactor.advance(1)
    assert wire.worker.runs.running() == []


def test_late_start_is_refused() -> None:
    wire = Wire()
    wire.settle(wire.client.fetch_listing())
    wire.reactor.advance(3)
    asked = wire.client.start(create_request(0))
    with pytest.raises(RefusedByPlatformError, match='late'):
        wire.settle(asked)


def test_older_attempt_is_refused() -> None:
    wire = Wire()
    wire.settle(wire.client.fetch_listing())
    wire.settle(wire.client.start(create_request(0)))
    older = wire.client.start(create_request(0, attempt=6))
    with pytest.raises(RefusedByPlatformError, match='seen'):
        wire.settle(older)


def test_silent_worker_fails_the_call() -> None:
    wire = Wire()
    failures: list[Any] = []
    wire.client.fetch_listing().addErrback(failures.append)
    wire.reactor.advance(2.1)
    assert failures[0].check(PlatformError)

"""Test stops for orders that outlived a life of the worker."""

from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.process.agent.test_open_orders import IDENTITY, ORDER
from wasabiturn.messages.batch import StopOrder
from wasabiturn.process.agent.runs.open_orders import OrderRegistry
from wasabiturn.process.agent.runs.order_revoker import OrderRevoker
from wasabiturn.process.agent.runs.port import (
    OrderRefusedError,
    WorkerIdentity,
)

NEXT_LIFE = attrs.evolve(IDENTITY, born_ms=2)


class RecordingPort:
    """Port that records stops; the test answers them."""

    def __init__(self) -> None:
        self.stops: list[tuple[int, Deferred[None]]] = []

    def stop(
        self, identity: WorkerIdentity, order: StopOrder, fence: int
    ) -> Deferred[None]:
        answer: Deferred[None] = Deferred()
        self.stops.append((order.run, answer))
        return answer


def create_revoker() -> tuple[OrderRevoker, Any]:
    registry = OrderRegistry(Clock())
    registry.record(ORDER, IDENTITY)
    port: Any = RecordingPort()
    return OrderRevoker(port, registry), port


def test_refused_holds_cause_no_second_stop_of_a_run() -> None:
    revoker, port = create_revoker()
    for _ in range(3):
        revoker.revoke(NEXT_LIFE, token=1)
    assert [run for run, _ in port.stops] == [ORDER.run]


def test_stop_that_failed_is_sent_again() -> None:
    revoker, port = create_revoker()
    revoker.revoke(NEXT_LIFE, token=1)
    port.stops[0][1].errback(OrderRefusedError('status 503'))
    revoker.revoke(NEXT_LIFE, token=1)
    assert len(port.stops) == 2


def test_run_is_stopped_in_each_next_life_but_not_in_its_own() -> None:
    revoker, port = create_revoker()
    revoker.revoke(IDENTITY, token=1)
    assert not port.stops
    revoker.revoke(NEXT_LIFE, token=1)
    revoker.revoke(attrs.evolve(IDENTITY, born_ms=3), token=1)
    assert len(port.stops) == 2

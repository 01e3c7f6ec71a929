"""Calls that arrive after their sender has stopped waiting."""

from typing import Any

import pytest
from twisted.internet.task import Clock

from tests.connection.fakes import PipeTransport
from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.connection.peer_clock import PeerClock
from wasabiturn.messages.batch import DataCentreMark
from wasabiturn.messages.kinds import FailureCode, Method
from wasabiturn.messages.link import Hello, Nothing

# Instances start their clocks at different times.
OFFSET_SECONDS = 5000.0
TIMEOUT_SECONDS = 0.9


class Pair:
    """Two links whose clocks differ; bytes wait until they are delivered."""

    def __init__(self, drops_expired: bool = True) -> None:
        self.carried_out: list[DataCentreMark] = []
        self.clocks = (Clock(), Clock())
        self.clocks[1].advance(OFFSET_SECONDS)
        leader = Dispatch(hello=Hello(name='leader', protocol_version=1))
        leader.handle(
            Method.mark_data_centre,
            DataCentreMark,
            self.carry_out,
            drops_expired=drops_expired,
        )
        entry = Dispatch(hello=Hello(name='entry', protocol_version=1))
        self.entry = Link(entry, self.clocks[0], dialled=True)
        self.leader = Link(leader, self.clocks[1], dialled=False)
        for link in (self.entry, self.leader):
            link.makeConnection(PipeTransport())
        self.deliver(self.leader, self.entry)
        self.deliver(self.entry, self.leader)

    def carry_out(self, link: Link, mark: DataCentreMark) -> Nothing:
        self.carried_out.append(mark)
        return Nothing()

    def deliver(self, source: Link, target: Link) -> None:
        transport: Any = source.transport
        written = transport.value()
        transport.clear()
        target.dataReceived(written)

    def call(self) -> list[Any]:
        results: list[Any] = []
        mark = DataCentreMark(data_centre='dc', out=False)
        called = self.entry.call(
            Method.mark_data_centre, mark, Nothing, TIMEOUT_SECONDS
        )
        called.addBoth(results.append)
        return results

    def wait(self, seconds: float) -> None:
        for clock in self.clocks:
            clock.rightNow += seconds


@pytest.mark.parametrize(
    ('delay_seconds', 'drops_expired', 'is_carried_out'),
    [
        (0.0, True, True),
        (TIMEOUT_SECONDS - 0.1, True, True),
        (TIMEOUT_SECONDS + 0.1, True, False),
        (3600.0, True, False),
        (TIMEOUT_SECONDS + 0.1, False, True),
    ],
)
def test_call_is_carried_out_only_while_its_sender_waits(
    delay_seconds: float, drops_expired: bool, is_carried_out: bool
) -> None:
    pair = Pair(drops_expired)
    pair.wait(10)
    results = pair.call()
    pair.wait(delay_seconds)
    pair.deliver(pair.entry, pair.leader)
    assert bool(pair.carried_out) is is_carried_out
    pair.deliver(pair.leader, pair.entry)
    (outcome,) = results
    if not is_carried_out:
        assert isinstance(outcome.value, CallError)
        assert outcome.value.code is FailureCode.unavailable


def test_sender_that_stood_still_does_not_gain_time() -> None:
    pair = Pair()
    results = pair.call()
    pair.wait(6)
    pair.deliver(pair.entry, pair.leader)
    assert not pair.carried_out
    assert not results


def test_peer_clock_is_never_ahead_of_the_peer() -> None:
    clock = PeerClock()
    assert clock.read(9.0) == 0
    # Sent at 5.0 s of the peer, under way for 2 s.
    clock.record(5000, 101.0)
    assert clock.read(101.5) == 5500

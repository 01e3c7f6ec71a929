"""Tests of an entry's graceful shutdown."""

from pathlib import Path

import pytest

from tests.process.entry.fakes import EntryHarness
from wasabiturn.messages.state import Header
from wasabiturn.process.entry.draining import Drainer

GET = 'GET /standdesk/x HTTP/1.1\r\nHost: x\r\n\r\n'
LENGTH_2 = (Header('Content-Length', '2'),)


class Drain:
    """Starts a drainer for a harness and records its progress."""

    def __init__(self, harness: EntryHarness) -> None:
        self.harness = harness
        self.listening = True
        self.pending = 0
        self.done = False
        draining = Drainer(
            reactor=harness.clock,
            callers=harness.factory,
            stop_listening=self.stop_listening,
            count_in_flight=lambda: self.pending,
            drain_seconds=5,
        )
        draining.start().addCallback(self.finish)

    def stop_listening(self) -> None:
        self.listening = False

    def finish(self, result: None) -> None:
        self.done = True


@pytest.fixture
def harness(tmp_path: Path) -> EntryHarness:
    return EntryHarness(tmp_path)


def test_requests_are_served_until_the_drain_time_ends(
    harness: EntryHarness,
) -> None:
    drain = Drain(harness)
    harness.advance(4, step=0.5)
    assert drain.listening
    caller = harness.call(GET)
    harness.requests()[0].answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert 'Connection: close' in caller.received
    assert caller.received.endswith('ok')
    assert caller.is_closed


def test_drain_waits_for_requests_in_flight(harness: EntryHarness) -> None:
    caller = harness.call(GET)
    drain = Drain(harness)
    harness.advance(9, step=0.5)
    assert not drain.listening
    assert not drain.done
    harness.requests()[0].answer(b'ok', 200, LENGTH_2)
    harness.pump()
    assert caller.received.endswith('ok')
    caller.hang_up()
    harness.advance(0.2)
    assert drain.done


def test_idle_connections_are_closed_after_the_port(
    harness: EntryHarness,
) -> None:
    caller = harness.call('')
    drain = Drain(harness)
    harness.advance(5.5, step=0.5)
    assert not caller.is_closed
    harness.advance(1.0, step=0.5)
    assert caller.is_closed
    caller.hang_up()
    harness.advance(0.2)
    assert drain.done


def test_drain_waits_for_answers_to_be_recorded(harness: EntryHarness) -> None:
    drain = Drain(harness)
    drain.pending = 1
    harness.advance(9, step=0.5)
    assert not drain.done
    drain.pending = 0
    harness.advance(0.2)
    assert drain.done

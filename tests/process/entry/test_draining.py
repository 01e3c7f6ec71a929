"""Graceful stop of an entry."""

from pathlib import Path

import pytest

from tests.process.entry.fakes import Bench
from wasabiturn.messages.state import Header
from wasabiturn.process.entry.draining import Draining

GET = 'GET /standdesk/x HTTP/1.1\r\nHost: x\r\n\r\n'
LENGTH_2 = (Header('Content-Length', '2'),)


class Drain:
    """A drain of a bench, and what it has done."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.listening = True
        self.pending = 0
        self.done = False
        draining = Draining(
            reactor=bench.clock,
            callers=bench.factory,
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
def bench(tmp_path: Path) -> Bench:
    return Bench(tmp_path)


def test_serves_on_while_the_balancer_learns(bench: Bench) -> None:
    drain = Drain(bench)
    bench.advance(4, step=0.5)
    assert drain.listening
    caller = bench.call(GET)
    bench.requests()[0].answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert 'Connection: close' in caller.received
    assert caller.received.endswith('ok')
    assert caller.is_closed


def test_request_in_flight_is_finished_first(bench: Bench) -> None:
    caller = bench.call(GET)
    drain = Drain(bench)
    bench.advance(9, step=0.5)
    assert not drain.listening
    assert not drain.done
    bench.requests()[0].answer(b'ok', 200, LENGTH_2)
    bench.pump()
    assert caller.received.endswith('ok')
    caller.hang_up()
    bench.advance(0.2)
    assert drain.done


def test_idle_connections_are_closed_last(bench: Bench) -> None:
    caller = bench.call('')
    drain = Drain(bench)
    bench.advance(5.5, step=0.5)
    assert not caller.is_closed
    bench.advance(1.0, step=0.5)
    assert caller.is_closed
    caller.hang_up()
    bench.advance(0.2)
    assert drain.done


def test_answers_still_to_be_recorded_are_awaited(bench: Bench) -> None:
    drain = Drain(bench)
    drain.pending = 1
    bench.advance(9, step=0.5)
    assert not drain.done
    drain.pending = 0
    bench.advance(0.2)
    assert drain.done

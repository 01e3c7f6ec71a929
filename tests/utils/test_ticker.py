"""Tickers go on after an error."""

from twisted.internet.task import Clock

from wasabiturn.utils.ticker import Ticker


def test_an_error_does_not_end_a_ticker() -> None:
    clock = Clock()
    calls: list[float] = []

    def work() -> None:
        calls.append(clock.seconds())
        if len(calls) == 2:
            raise RuntimeError('unexpected')

    ticker = Ticker(work, clock)
    ticker.start(1.0)
    for _ in range(3):
        clock.advance(1)
    assert calls == [0, 1, 2, 3]


def test_a_stopped_ticker_makes_no_more_calls() -> None:
    clock = Clock()
    calls: list[int] = []
    ticker = Ticker(lambda: calls.append(1), clock)
    ticker.start(1.0, now=False)
    assert ticker.running
    ticker.stop()
    clock.advance(2)
    assert not ticker.running
    assert not calls

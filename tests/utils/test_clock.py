"""Tests of the reactor's clock when the wall clock is stepped."""

import time

import pytest
from twisted.internet.selectreactor import SelectReactor

from wasabiturn.utils.clock import use_boot_clock

DAY_SECONDS = 86400


@pytest.mark.parametrize('step', [-DAY_SECONDS, DAY_SECONDS])
def test_step_of_wall_clock_does_not_move_timers(
    monkeypatch: pytest.MonkeyPatch,
    step: int,
) -> None:
    reactor = SelectReactor()
    use_boot_clock(reactor)
    early: list[str] = []
    due = reactor.callLater(3600, early.append, 'early')
    before = reactor.seconds()
    # Twisted's reactors read the wall clock; simulate a step of it.
    monkeypatch.setattr(
        SelectReactor,
        'seconds',
        staticmethod(lambda: time.time() + step),
    )
    reactor.runUntilCurrent()
    assert not early
    assert abs(reactor.seconds() - before) < DAY_SECONDS / 2
    assert due.getTime() - reactor.seconds() > 3000
    due.cancel()

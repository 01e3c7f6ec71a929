"""Seeded series of faults from outside, which overlap and are undone.

Faults of one series follow each other by fractions of a second. A target has
one fault at a time; faults of different targets overlap freely, so that the
control group may lose its majority for a while.
"""

import enum
from collections.abc import Callable
from random import Random
from typing import Any, final

import attrs

from benchmarks.platform_soak.fleet import Fleet
from benchmarks.platform_soak.journal import FaultEvent, Journal
from benchmarks.platform_soak.series import Series
from benchmarks.platform_soak.settings import GRACE_SECONDS
from benchmarks.soak.programs import Program
from benchmarks.soak.relay import NetworkPath

FAULT_SECONDS = (0.4, 0.7, 1.0, 1.5, 1.9, 2.5, 4.0, 6.5)
AWAY_SECONDS = (0.3, 0.5, 0.7, 0.9, 1.5)
GAP_SECONDS = (0.05, 0.2, 0.5, 1.0)
PAUSE_SECONDS = (0.5, 1.0, 2.0)
MAX_SERIES = 4
DELAY_SECONDS = (0.05, 0.3, 1.0)
STOP_CHECK_SECONDS = 0.1
Undo = Callable[[], None]


@final
class FaultKind(enum.Enum):
    """Kind of an injected fault."""

    kill = 'kill'
    restart = 'graceful restart'
    freeze = 'freeze'
    cut = 'cut'
    cut_one_way = 'cut one way'
    delay = 'delay'
    reset = 'reset'
    silence = 'silence'
    crash = 'worker crash'


_PROGRAM_KINDS = frozenset(
    (FaultKind.kill, FaultKind.restart, FaultKind.freeze)
)


@final
@attrs.define(eq=False)
class FaultInjector:
    """Inject faults until stopped; ``is_calm`` tells when all are undone."""

    reactor: Any
    fleet: Fleet
    journal: Journal
    random: Random
    active: set[str] = attrs.field(factory=set)
    # Programs that did not end in their grace time.
    overdue_stops: list[str] = attrs.field(factory=list)
    is_stopped: bool = False
    _series: Series = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Draw the series from the same random numbers as the events."""
        self._series = Series(
            self.random, MAX_SERIES, GAP_SECONDS, PAUSE_SECONDS
        )

    def start(self) -> None:
        """Inject the first fault, and go on until stopped."""
        if self.is_stopped:
            return
        self._inject_next()
        self.reactor.callLater(self._series.draw_wait(), self.start)

    def is_calm(self) -> bool:
        """Return whether no fault goes on and no more will come."""
        return self.is_stopped and not self.active

    def _inject_next(self) -> None:
        kind = self.random.choice(list(FaultKind))
        target = self._choose_target(kind)
        seconds = self.random.choice(FAULT_SECONDS)
        if kind is FaultKind.crash:
            seconds = self.random.choice(AWAY_SECONDS)
        # Drawn in any case, so that the series depends on the seed only.
        is_forward = self.random.random() < 1 / 2
        delay = self.random.choice(DELAY_SECONDS)
        if target in self.active:
            return
        self.active.add(target)
        self.journal.add_fault(
            FaultEvent(self.journal.now(), kind.value, target, seconds)
        )
        undo = self._apply(kind, target, is_forward, delay)
        self.reactor.callLater(seconds, undo)

    def _choose_target(self, kind: FaultKind) -> str:
        if kind is FaultKind.crash:
            return self.random.choice(sorted(self.fleet.workers_by_name))
        if kind in _PROGRAM_KINDS:
            return self.random.choice(sorted(self.fleet.programs_by_name))
        return self.random.choice(sorted(self.fleet.paths_by_name))

    def _apply(
        self, kind: FaultKind, target: str, is_forward: bool, delay: float
    ) -> Undo:
        if kind is FaultKind.crash:
            worker = self.fleet.workers_by_name[target]
            worker.crash()
            return lambda: self._end(target, worker.start)
        if kind in _PROGRAM_KINDS:
            program = self.fleet.programs_by_name[target]
            return self._disturb(kind, program)
        path = self.fleet.paths_by_name[target]
        _disturb_path(kind, path, is_forward, delay)
        return lambda: self._end(target, lambda: _heal(path))

    def _disturb(self, kind: FaultKind, program: Program) -> Undo:
        if kind is FaultKind.freeze:
            program.freeze()
            return lambda: self._end(program.name, program.thaw)
        if kind is FaultKind.kill:
            program.kill()
            return lambda: self._end(program.name, program.start)
        program.terminate()
        asked_at = self.journal.now()
        return lambda: self._start_again(program, asked_at)

    def _start_again(self, program: Program, asked_at: float) -> None:
        """Start a program that was asked to stop, once it has ended."""
        if program.is_running():
            if self.journal.now() < asked_at + GRACE_SECONDS:
                self.reactor.callLater(
                    STOP_CHECK_SECONDS, self._start_again, program, asked_at
                )
                return
            self.overdue_stops.append(program.name)
            program.kill()
        self._end(program.name, program.start)

    def _end(self, target: str, undo: Undo) -> None:
        undo()
        self.active.discard(target)


def _disturb_path(
    kind: FaultKind, path: NetworkPath, is_forward: bool, delay: float
) -> None:
    if kind is FaultKind.cut:
        path.cut()
    elif kind is FaultKind.delay:
        path.delay_seconds = delay
    elif kind is FaultKind.reset:
        path.reset_open_connections()
    elif kind is FaultKind.silence:
        path.silence_open_connections()
    else:
        path.cut_forward = is_forward
        path.cut_backward = not is_forward


def _heal(path: NetworkPath) -> None:
    path.delay_seconds = 0
    path.heal()

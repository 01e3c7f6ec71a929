"""Seeded faults on a running deployment, one at a time or two together."""

import enum
import shutil
from collections.abc import Callable
from random import Random
from typing import Any, final

import attrs

from benchmarks.soak.fleet import Fleet
from benchmarks.soak.programs import Program
from benchmarks.soak.relay import Path

SHORTEST_SECONDS = 0.5
LONGEST_SECONDS = 6.0
REPAIR_SECONDS = 30.0


@final
class FaultKind(enum.Enum):
    """What goes wrong."""

    kill = 'kill'
    freeze = 'freeze'
    cut = 'cut'
    cut_one_way = 'cut-one-way'
    silence = 'silence'
    lost_disk = 'lost-disk'
    graceful_restart = 'graceful-restart'
    lost_data_centre = 'lost-data-centre'


@final
@attrs.frozen
class FaultRecord:
    """One fault as it was caused; times in loop seconds."""

    kind: FaultKind
    target: str
    started: float
    seconds: float


@final
@attrs.define(eq=False)
class Faults:
    """Causes faults until stopped, and undoes each after a while."""

    reactor: Any
    fleet: Fleet
    random: Random
    pause_seconds: float
    records: list[FaultRecord] = attrs.field(factory=list)
    busy: set[str] = attrs.field(factory=set)
    repaired_at: float = float('-inf')
    stopped: bool = False

    def start(self) -> None:
        """Cause the first fault after a pause."""
        wait = self.random.uniform(self.pause_seconds / 2, self.pause_seconds)
        self.reactor.callLater(wait, self._cause_next)

    def stop(self) -> None:
        """Cause no more; those under way are still undone."""
        self.stopped = True

    def kills_of(self, name: str) -> list[float]:
        """Return when the program ``name`` was killed."""
        data_centre = self.fleet.data_centre_of(name)
        return [
            record.started
            for record in self.records
            if (record.kind is FaultKind.kill and record.target == name)
            or record.target == data_centre
        ]

    def _cause_next(self) -> None:
        if self.stopped:
            return
        kind = self.random.choice(list(FaultKind))
        seconds = self.random.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        target = self._choose_target(kind)
        if target not in self.busy:
            self._cause(kind, target, seconds)
        self.start()

    def _choose_target(self, kind: FaultKind) -> str:
        if kind in {FaultKind.cut, FaultKind.cut_one_way, FaultKind.silence}:
            return self.random.choice(sorted(self.fleet.paths_by_name))
        if kind is FaultKind.lost_data_centre:
            return self.random.choice(self.fleet.data_centres())
        names = sorted(self.fleet.programs_by_name)
        if kind is FaultKind.lost_disk:
            names = [name for name in names if name.startswith('control')]
        elif kind is FaultKind.graceful_restart:
            names = [name for name in names if not _is_standin(name)]
        return self.random.choice(names)

    def _cause(self, kind: FaultKind, target: str, seconds: float) -> None:
        if kind is FaultKind.lost_disk and not self._may_lose_disk(seconds):
            return
        self.busy.add(target)
        self.records.append(
            FaultRecord(
                kind=kind,
                target=target,
                started=self.reactor.seconds(),
                seconds=seconds,
            ),
        )
        undo = self._apply(kind, target)
        self.reactor.callLater(seconds, self._undo, target, undo)

    def _undo(self, target: str, undo: Callable[[], None]) -> None:
        undo()
        self.busy.discard(target)

    def _apply(self, kind: FaultKind, target: str) -> Callable[[], None]:
        path = self.fleet.paths_by_name.get(target)
        if path is not None:
            return _disturb_path(kind, path, self.random)
        if kind is FaultKind.lost_data_centre:
            return self._lose_data_centre(target)
        program = self.fleet.programs_by_name[target]
        if kind is FaultKind.freeze:
            program.freeze()
            return program.thaw
        if kind is FaultKind.graceful_restart:
            program.terminate()
            return lambda: _restart(program)
        program.kill()
        if kind is FaultKind.lost_disk:
            shutil.rmtree(self.fleet.folder / 'data' / target)
        return program.start

    def _may_lose_disk(self, seconds: float) -> bool:
        """Tell whether the disk lost before has been repaired."""
        now = self.reactor.seconds()
        if now < self.repaired_at + REPAIR_SECONDS:
            return False
        self.repaired_at = now + seconds
        return True

    def _lose_data_centre(self, name: str) -> Callable[[], None]:
        lost = [
            program
            for program in self.fleet.programs_in(name)
            if program.name not in self.busy and program.is_running()
        ]
        self.busy.update(program.name for program in lost)
        for program in lost:
            program.kill()

        def undo() -> None:
            for program in lost:
                program.start()
                self.busy.discard(program.name)

        return undo


def _restart(program: Program) -> None:
    program.wait()
    program.start()


def _disturb_path(
    kind: FaultKind,
    path: Path,
    random: Random,
) -> Callable[[], None]:
    if kind is FaultKind.silence:
        path.silence_open()
        return _nothing
    if kind is FaultKind.cut:
        path.cut()
    elif random.choice((True, False)):
        path.cut_forward = True
    else:
        path.cut_backward = True
    return path.heal


def _is_standin(name: str) -> bool:
    return name.startswith(('backend', 'worker'))


def _nothing() -> None:
    """Leave silenced connections as they are: they stay silent for good."""

"""Injection of seeded random faults into a running deployment.

Faults may overlap, but not on the same target.
"""

import enum
import shutil
from collections.abc import Callable
from random import Random
from typing import Any, final

import attrs

from benchmarks.soak.fleet import Fleet
from benchmarks.soak.programs import Program
from benchmarks.soak.relay import NetworkPath

MIN_FAULT_SECONDS = 0.5
MAX_FAULT_SECONDS = 6.0
# Least time between the restart of a control instance whose disk was lost and
# the next such fault, so that its data can be restored first.
DISK_RECOVERY_SECONDS = 30.0


@final
class FaultKind(enum.Enum):
    """Kind of an injected fault."""

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
    """One injected fault; ``started`` is in seconds of the event loop."""

    kind: FaultKind
    target: str
    started: float
    seconds: float


@final
@attrs.define(eq=False)
class FaultInjector:
    """Inject faults until stopped, and undo each after a random time."""

    reactor: Any
    fleet: Fleet
    random: Random
    pause_seconds: float
    records: list[FaultRecord] = attrs.field(factory=list)
    faulty_targets: set[str] = attrs.field(factory=set)
    disk_restored_at: float = float('-inf')
    stopped: bool = False

    def start(self) -> None:
        """Schedule the next fault after a random pause."""
        wait = self.random.uniform(self.pause_seconds / 2, self.pause_seconds)
        self.reactor.callLater(wait, self._inject_next)

    def stop(self) -> None:
        """Inject no more faults; active ones are still undone."""
        self.stopped = True

    def kill_times(self, name: str) -> list[float]:
        """Return the times at which the program ``name`` was killed."""
        data_centre = self.fleet.data_centre_of(name)
        return [
            record.started
            for record in self.records
            if (record.kind is FaultKind.kill and record.target == name)
            or record.target == data_centre
        ]

    def _inject_next(self) -> None:
        if self.stopped:
            return
        kind = self.random.choice(list(FaultKind))
        seconds = self.random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        target = self._choose_target(kind)
        if target not in self.faulty_targets:
            self._inject(kind, target, seconds)
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

    def _inject(self, kind: FaultKind, target: str, seconds: float) -> None:
        if kind is FaultKind.lost_disk and not self._may_lose_disk(seconds):
            return
        self.faulty_targets.add(target)
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
        self.faulty_targets.discard(target)

    def _apply(self, kind: FaultKind, target: str) -> Callable[[], None]:
        path = self.fleet.paths_by_name.get(target)
        if path is not None:
            return _inject_path_fault(kind, path, self.random)
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
        """Return whether the last lost disk has been restored.

        If so, record that another one is lost for ``seconds``.
        """
        now = self.reactor.seconds()
        if now < self.disk_restored_at + DISK_RECOVERY_SECONDS:
            return False
        self.disk_restored_at = now + seconds
        return True

    def _lose_data_centre(self, name: str) -> Callable[[], None]:
        lost = [
            program
            for program in self.fleet.programs_in(name)
            if program.name not in self.faulty_targets and program.is_running()
        ]
        self.faulty_targets.update(program.name for program in lost)
        for program in lost:
            program.kill()

        def undo() -> None:
            for program in lost:
                program.start()
                self.faulty_targets.discard(program.name)

        return undo


def _restart(program: Program) -> None:
    program.wait()
    program.start()


def _inject_path_fault(
    kind: FaultKind,
    path: NetworkPath,
    random: Random,
) -> Callable[[], None]:
    if kind is FaultKind.silence:
        path.silence_open_connections()
        return _do_nothing
    if kind is FaultKind.cut:
        path.cut()
    elif random.choice((True, False)):
        path.cut_forward = True
    else:
        path.cut_backward = True
    return path.heal


def _is_standin(name: str) -> bool:
    return name.startswith(('backend', 'worker'))


def _do_nothing() -> None:
    """Do nothing: silenced connections stay silent."""

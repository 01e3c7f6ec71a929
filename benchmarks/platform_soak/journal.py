"""What callers and workers of a soak have seen, in the order of its clock."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, final

import attrs


@final
@attrs.frozen
class RunEvent:
    """Begin, end or acknowledged end of a run, as its worker saw it.

    ``ended_at`` is when an acknowledged run had ended.
    """

    at: float
    what: str
    worker: str
    task: str
    run: int
    ending: str = ''
    ended_at: float = 0

    @property
    def job(self) -> str:
        """Return the id of the job of the task."""
        return self.task.partition('.')[0]


@final
@attrs.frozen
class CallEvent:
    """Call of a caller; ``status`` is 0 if no whole answer came."""

    sent_at: float
    ended_at: float
    entry: str
    method: str
    job: str
    status: int
    state: str = ''


@final
@attrs.frozen
class FaultEvent:
    """Fault that was injected, from its start until it was undone."""

    at: float
    kind: str
    target: str
    seconds: float


BEGIN = 'begin'
END = 'end'
ACKNOWLEDGED = 'acknowledged'
# Kind of a fault of the machine, not of the soak: see ``starvation``.
STARVED = 'starved'


@final
@attrs.define(eq=False)
class Journal:
    """Events of one soak; each is also written to a file at once."""

    path: Path
    now: Callable[[], float]
    runs: list[RunEvent] = attrs.field(factory=list)
    calls: list[CallEvent] = attrs.field(factory=list)
    faults: list[FaultEvent] = attrs.field(factory=list)

    def add_run(self, event: RunEvent) -> None:
        """Add an event of a run."""
        self.runs.append(event)
        self._write(event)

    def add_call(self, event: CallEvent) -> None:
        """Add a call."""
        self.calls.append(event)
        self._write(event)

    def add_fault(self, event: FaultEvent) -> None:
        """Add a fault."""
        self.faults.append(event)
        self._write(event)

    def _write(self, event: Any) -> None:
        fields = {'event': type(event).__name__, **attrs.asdict(event)}
        with self.path.open('a', encoding='utf-8') as stream:
            stream.write(f'{json.dumps(fields)}\n')

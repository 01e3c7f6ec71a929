"""How late the loop of a member is, and what follows from it."""

from typing import final

import attrs

from wasabiturn.process import exposition
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.raft.timing import ELECTION_TIMEOUT_SECONDS

_log = create_component_log('consensus')


@final
@attrs.define
class LoopDelay:
    """Delay of a tick that comes each ``interval_seconds``."""

    interval_seconds: float
    # By how much the newest tick came later than usual.
    late_seconds: float = 0
    _due_at: float | None = None

    def measure(self, now: float) -> float:
        """Return by how many seconds this tick comes later than usual."""
        due_at = now if self._due_at is None else self._due_at
        self._due_at = now + self.interval_seconds
        self.late_seconds = max(now - due_at, 0)
        return self.late_seconds


def report_step_down(late_seconds: float) -> None:
    """Tell why a leader has stepped down by itself."""
    if late_seconds < ELECTION_TIMEOUT_SECONDS:
        _log.warning('stepped down: no quorum has answered')
        return
    exposition.turns_left.inc()
    _log.warning(
        'stepped down: the loop stood still; leaves the turn to others',
        seconds=late_seconds,
    )

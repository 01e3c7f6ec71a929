"""What the leader remembers of the isolation of suspects."""

from collections.abc import Iterable
from typing import final

import attrs

# Workers are kept from lasting tasks for so long, before these have a turn.
MAX_WITHHELD_SECONDS = 2.0
# A lasting suspect that has waited its turn for so long shares a worker with
# others; less than the time for which the first of them is tried alone.
MAX_TURN_SECONDS = 2.0


@final
@attrs.define
class IsolationState:
    """Reservations for suspects, and the order in which these start.

    Workers are given by name and time of birth.
    """

    # They get no other new runs, so that a suspect can start there.
    reserved: set[tuple[str, int]] = attrs.field(factory=set)
    # Suspects that don't start until it is decided whether to give them up.
    held_tasks: set[str] = attrs.field(factory=set)
    # Position among the suspects of a crash, and its time: newest starts last.
    rank_by_task: dict[str, tuple[float, int]] = attrs.field(factory=dict)
    # Since when suspects have kept workers from others without a pause, or the
    # last turn of the lasting tasks among these.
    withheld_since: float | None = None
    # Since when a lasting suspect that some worker could take waits its turn.
    waits_since_by_task: dict[str, float] = attrs.field(factory=dict)
    # Since when a gang with suspects waits to start, by the name of its part.
    waits_since_by_gang: dict[str, float] = attrs.field(factory=dict)

    def rank(self, task: str) -> tuple[float, int]:
        """Return the key of a suspect; the highest starts first."""
        return self.rank_by_task.get(task, (0, 0))

    def follow_withheld(self, is_withheld: bool, now: float) -> None:
        """Record whether suspects keep workers from others at ``now``."""
        if not is_withheld:
            self.withheld_since = None
        elif self.withheld_since is None:
            self.withheld_since = now

    def withholds_too_long(self, now: float) -> bool:
        """Return whether lasting tasks are to have a turn before suspects."""
        since = self.withheld_since
        return since is not None and now >= since + MAX_WITHHELD_SECONDS

    def follow_turns(self, tasks: Iterable[str], now: float) -> None:
        """Record which lasting suspects wait their turn at ``now``."""
        waits_since = self.waits_since_by_task
        self.waits_since_by_task = {
            task: waits_since.get(task, now) for task in tasks
        }

    def is_overdue(self, task: str, now: float) -> bool:
        """Return whether a lasting suspect has waited for too long."""
        since = self.waits_since_by_task.get(task)
        return since is not None and now >= since + MAX_TURN_SECONDS

    def forget_all(self) -> None:
        """Forget all, as there are no suspects."""
        self.reserved.clear()
        self.withheld_since = None
        self.rank_by_task.clear()
        self.waits_since_by_task.clear()
        self.waits_since_by_gang.clear()

"""What the leader remembers of the isolation of suspects."""

from typing import final

import attrs


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
    # Since when a gang with suspects waits to start, by the name of its part.
    waits_since_by_gang: dict[str, float] = attrs.field(factory=dict)

    def rank(self, task: str) -> tuple[float, int]:
        """Return the key of a suspect; the highest starts first."""
        return self.rank_by_task.get(task, (0, 0))

    def forget_all(self) -> None:
        """Forget all, as there are no suspects."""
        self.reserved.clear()
        self.rank_by_task.clear()
        self.waits_since_by_gang.clear()

"""What the leader remembers of the isolation of suspects."""

from collections.abc import Iterable
from typing import final

import attrs

# Workers are kept from lasting tasks for so long, before these have a turn.
MAX_WITHHELD_SECONDS = 2.0
# A suspect that has waited its turn for so long shares a worker with others;
# less than the time for which the first of them is tried alone.
MAX_TURN_SECONDS = 2.0
# Crashes of a service that are remembered.
MAX_REMEMBERED_CRASHES = 100


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
    # Whether lasting suspects share a worker, or others, until all are proven.
    is_lasting_by_shared: dict[tuple[str, int], bool] = attrs.field(
        factory=dict
    )
    # Suspects of the crash of such a worker, to be tried alone next.
    alone_tasks: set[str] = attrs.field(factory=set)
    # When workers of each service crashed lately.
    crashed_at_by_service: dict[str, list[float]] = attrs.field(factory=dict)
    # Since when suspects have kept workers from others without a pause, or the
    # last turn of the lasting tasks among these.
    withheld_since: float | None = None
    # Since when a suspect that some worker could take waits its turn.
    waits_since_by_task: dict[str, float] = attrs.field(factory=dict)
    # Since when a gang with suspects waits to start, by the name of its part.
    waits_since_by_gang: dict[str, float] = attrs.field(factory=dict)

    def follow_shared(
        self, isolating: Iterable[tuple[str, int]], suspects: Iterable[str]
    ) -> None:
        """Forget shared workers and suspects that are proven or gone."""
        self.is_lasting_by_shared = {
            worker: self.is_lasting_by_shared[worker]
            for worker in isolating
            if worker in self.is_lasting_by_shared
        }
        self.alone_tasks.intersection_update(suspects)

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
        """Record which suspects wait their turn at ``now``."""
        waits_since = self.waits_since_by_task
        self.waits_since_by_task = {
            task: waits_since.get(task, now) for task in tasks
        }

    def record_crash(self, service_name: str, now: float) -> None:
        """Record the crash of a worker of a service."""
        crashed_at = self.crashed_at_by_service.setdefault(service_name, [])
        crashed_at.append(now)
        del crashed_at[:-MAX_REMEMBERED_CRASHES]

    def count_crashes(self, service_name: str, since: float) -> int:
        """Return how many workers of a service have crashed since then."""
        crashed_at = self.crashed_at_by_service.get(service_name, ())
        return sum(at > since for at in crashed_at)

    def waited_seconds(self, task: str, now: float) -> float:
        """Return for how long a suspect has waited for its turn."""
        return now - self.waits_since_by_task.get(task, now)

    def forget_all(self) -> None:
        """Forget all, as there are no suspects."""
        self.reserved.clear()
        self.withheld_since = None
        self.rank_by_task.clear()
        self.is_lasting_by_shared.clear()
        self.alone_tasks.clear()
        self.waits_since_by_task.clear()
        self.waits_since_by_gang.clear()

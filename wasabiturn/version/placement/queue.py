"""Waiting tasks: lanes by urgency, teams by dominant share, jobs by age.

Tasks of one owner are alike, so the queue is walked by owner, not by task.
"""

import enum
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import TaskSpec


@final
class Lane(enum.IntEnum):
    """Order of service: each lane is walked before the next."""

    service = 0
    urgent = 1
    batch = 2


@final
@attrs.frozen(order=True)
class QueuedOwner:
    """One service or job with waiting tasks, ordered by age."""

    created: int
    name: str
    kind: Kind


@final
@attrs.define
class WaitingQueue:
    """Waiting tasks by owner, and waiting owners by lane and team."""

    tasks_by_owner: dict[QueuedOwner, dict[str, TaskSpec]] = attrs.field(
        factory=dict,
    )
    owners_by_team: dict[tuple[Lane, str], list[QueuedOwner]] = attrs.field(
        factory=dict,
    )
    places_by_task: dict[str, tuple[Lane, str, QueuedOwner]] = attrs.field(
        factory=dict,
    )

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return len(self.places_by_task)

    def put(
        self,
        task: str,
        spec: TaskSpec,
        team: str,
        owner: QueuedOwner,
    ) -> None:
        """Add a task that is not queued."""
        lane = lane_of(spec)
        tasks = self.tasks_by_owner.get(owner)
        if tasks is None:
            tasks = {}
            self.tasks_by_owner[owner] = tasks
            insort(self.owners_by_team.setdefault((lane, team), []), owner)
        tasks[task] = spec
        self.places_by_task[task] = (lane, team, owner)

    def remove(self, task: str) -> None:
        """Remove a task, if it is queued."""
        place = self.places_by_task.pop(task, None)
        if place is None:
            return
        lane, team, owner = place
        tasks = self.tasks_by_owner[owner]
        tasks.pop(task)
        if not tasks:
            self.tasks_by_owner.pop(owner)
            self._remove_owner(lane, team, owner)

    def teams(self, lane: Lane) -> list[str]:
        """Return the teams that wait in ``lane``."""
        return [team for known, team in self.owners_by_team if known is lane]

    def owners(self, lane: Lane, team: str) -> Iterator[QueuedOwner]:
        """Yield the owners of ``team`` in ``lane``, oldest first."""
        yield from list(self.owners_by_team.get((lane, team), ()))

    def first_task(self, owner: QueuedOwner) -> str | None:
        """Return the task of ``owner`` that is placed next."""
        return next(iter(self.tasks_by_owner.get(owner, ())), None)

    def _remove_owner(self, lane: Lane, team: str, owner: QueuedOwner) -> None:
        owners = self.owners_by_team[lane, team]
        owners.pop(bisect_left(owners, owner))
        if not owners:
            self.owners_by_team.pop((lane, team))


def lane_of(spec: TaskSpec) -> Lane:
    """Return the lane in which a task waits."""
    if spec.owner_kind is Kind.service:
        return Lane.service
    return Lane.urgent if spec.urgent else Lane.batch

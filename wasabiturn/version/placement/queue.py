"""Queue of waiting tasks by priority class, team and age of the owner.

Tasks of one owner are alike, so the queue is traversed by owner, not by task.
"""

import enum
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import TaskSpec


@final
class PriorityClass(enum.IntEnum):
    """Priority of waiting tasks; lower values are scheduled first."""

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
    """Waiting tasks by owner, and their owners by priority class and team."""

    tasks_by_owner: dict[QueuedOwner, dict[str, TaskSpec]] = attrs.field(
        factory=dict,
    )
    owners_by_team: dict[tuple[PriorityClass, str], list[QueuedOwner]] = (
        attrs.field(factory=dict)
    )
    positions_by_task: dict[str, tuple[PriorityClass, str, QueuedOwner]] = (
        attrs.field(factory=dict)
    )

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return len(self.positions_by_task)

    def put(
        self,
        task: str,
        spec: TaskSpec,
        team: str,
        owner: QueuedOwner,
    ) -> None:
        """Add a task that is not queued."""
        priority = priority_of(spec)
        tasks = self.tasks_by_owner.get(owner)
        if tasks is None:
            tasks = {}
            self.tasks_by_owner[owner] = tasks
            insort(self.owners_by_team.setdefault((priority, team), []), owner)
        tasks[task] = spec
        self.positions_by_task[task] = (priority, team, owner)

    def remove(self, task: str) -> None:
        """Remove a task, if it is queued."""
        position = self.positions_by_task.pop(task, None)
        if position is None:
            return
        priority, team, owner = position
        tasks = self.tasks_by_owner[owner]
        tasks.pop(task)
        if not tasks:
            self.tasks_by_owner.pop(owner)
            self._remove_owner(priority, team, owner)

    def teams(self, priority: PriorityClass) -> list[str]:
        """Return the teams with waiting tasks of ``priority``."""
        return [
            team
            for candidate, team in self.owners_by_team
            if candidate is priority
        ]

    def owners(
        self,
        priority: PriorityClass,
        team: str,
    ) -> Iterator[QueuedOwner]:
        """Yield the owners of ``team`` with ``priority``, oldest first."""
        yield from list(self.owners_by_team.get((priority, team), ()))

    def first_task(self, owner: QueuedOwner) -> str | None:
        """Return the task of ``owner`` to place next, if any waits."""
        return next(iter(self.tasks_by_owner.get(owner, ())), None)

    def _remove_owner(
        self,
        priority: PriorityClass,
        team: str,
        owner: QueuedOwner,
    ) -> None:
        owners = self.owners_by_team[priority, team]
        owners.pop(bisect_left(owners, owner))
        if not owners:
            self.owners_by_team.pop((priority, team))


def priority_of(spec: TaskSpec) -> PriorityClass:
    """Return the priority class of a task."""
    if spec.owner_kind is Kind.service:
        return PriorityClass.service
    return PriorityClass.urgent if spec.urgent else PriorityClass.batch

"""Workers as known to the leader, with the capacity charged to them."""

from collections import deque
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import Capacity, TaskSpec
from wasabiturn.version.placement.capacity import add, subtract
from wasabiturn.version.placement.periods import AGENT_LEASE_SECONDS

NEVER = float('-inf')


@final
@attrs.frozen
class TaskCounts:
    """Number of tasks by kind on a worker from ``since`` on."""

    since: float
    counts_by_kind: dict[str, int]


@final
@attrs.define
class Worker:
    """One worker, with the capacity charged for the tasks that it holds."""

    name: str
    incarnation: str = ''
    data_centre: str = ''
    rack: str = ''
    capacity: Capacity = attrs.field(factory=Capacity)
    # Capacity that is not charged; negative amounts mean overload.
    free: Capacity = attrs.field(factory=Capacity)
    last_heartbeat_at: float = NEVER
    sequence: int = 0
    reconciled: bool = False
    leaving: bool = False
    # Attempts that were assigned and are not known to run yet.
    starting: int = 0
    # Tasks under which a worker has crashed before.
    suspects: int = 0
    charges_by_task: dict[str, Capacity] = attrs.field(factory=dict)
    counts_by_kind: dict[str, int] = attrs.field(factory=dict)
    service_counts_by_kind: dict[str, int] = attrs.field(factory=dict)
    loads_by_kind: dict[str, float] = attrs.field(factory=dict)
    # Expected slowdown that batch tasks may cause to the services.
    slowdown_limit: float = float('inf')
    task_counts_history: deque[TaskCounts] = attrs.field(factory=deque)
    past_incarnations: set[str] = attrs.field(factory=set)

    def has_recent_heartbeat(self, now: float) -> bool:
        """Return whether a heartbeat arrived within the agent lease."""
        return now - self.last_heartbeat_at <= AGENT_LEASE_SECONDS

    def accepts_starts(self, now: float) -> bool:
        """Return whether new attempts may be assigned to the worker."""
        return (
            self.reconciled
            and not self.leaving
            and self.has_recent_heartbeat(now)
        )

    def charge(self, task: str, spec: TaskSpec, size: Capacity) -> None:
        """Charge ``size`` for ``task``, which must not be charged yet."""
        self.charges_by_task[task] = size
        self.free = subtract(self.free, size)
        self.suspects += bool(spec.crashed_workers)
        _adjust_count(self.counts_by_kind, spec.task_kind, 1)
        if spec.owner_kind is Kind.service:
            _adjust_count(self.service_counts_by_kind, spec.task_kind, 1)

    def release(self, task: str, spec: TaskSpec) -> None:
        """Release the charge of ``task``."""
        self.free = add(self.free, self.charges_by_task.pop(task))
        self.suspects -= bool(spec.crashed_workers)
        _adjust_count(self.counts_by_kind, spec.task_kind, -1)
        if spec.owner_kind is Kind.service:
            _adjust_count(self.service_counts_by_kind, spec.task_kind, -1)

    def change_charge(self, task: str, size: Capacity) -> None:
        """Replace the current charge of ``task`` by ``size``."""
        current = self.charges_by_task[task]
        self.free = subtract(add(self.free, current), size)
        self.charges_by_task[task] = size

    def resize(self, capacity: Capacity) -> None:
        """Set the capacity that the worker announces."""
        if capacity != self.capacity:
            self.free = add(self.free, subtract(capacity, self.capacity))
            self.capacity = capacity


def _adjust_count(counts: dict[str, int], kind: str, change: int) -> None:
    counts[kind] = counts.get(kind, 0) + change
    if not counts[kind]:
        counts.pop(kind)

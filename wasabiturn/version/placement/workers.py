"""Workers as the leader knows them, and what they are charged."""

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
class Neighbourhood:
    """Counts of tasks by kind that were in force from ``since`` on."""

    since: float
    counts_by_kind: dict[str, int]


@final
@attrs.define
class Worker:
    """One worker, with the charges of the tasks that it holds.

    ``free`` is the capacity that is not charged; ``starting`` counts the
    attempts that were assigned and are not known to run. Batch tasks may slow
    the services of the worker by up to ``slowdown_limit``.
    """

    name: str
    incarnation: str = ''
    data_centre: str = ''
    rack: str = ''
    capacity: Capacity = attrs.field(factory=Capacity)
    free: Capacity = attrs.field(factory=Capacity)
    heard_at: float = NEVER
    sequence: int = 0
    reconciled: bool = False
    leaving: bool = False
    starting: int = 0
    charges_by_task: dict[str, Capacity] = attrs.field(factory=dict)
    counts_by_kind: dict[str, int] = attrs.field(factory=dict)
    service_kinds: dict[str, int] = attrs.field(factory=dict)
    loads_by_kind: dict[str, float] = attrs.field(factory=dict)
    slowdown_limit: float = float('inf')
    neighbourhoods: deque[Neighbourhood] = attrs.field(factory=deque)
    past_incarnations: set[str] = attrs.field(factory=set)

    def has_recent_heartbeat(self, now: float) -> bool:
        """Tell whether a heartbeat came within the agent lease."""
        return now - self.heard_at <= AGENT_LEASE_SECONDS

    def accepts_starts(self, now: float) -> bool:
        """Tell whether new attempts may be assigned to the worker."""
        return (
            self.reconciled
            and not self.leaving
            and self.has_recent_heartbeat(now)
        )

    def charge(self, task: str, spec: TaskSpec, size: Capacity) -> None:
        """Charge ``size`` for ``task``, which is not charged yet."""
        self.charges_by_task[task] = size
        self.free = subtract(self.free, size)
        _count(self.counts_by_kind, spec.task_kind, 1)
        if spec.owner_kind is Kind.service:
            _count(self.service_kinds, spec.task_kind, 1)

    def discharge(self, task: str, spec: TaskSpec) -> None:
        """Return the charge of ``task``."""
        self.free = add(self.free, self.charges_by_task.pop(task))
        _count(self.counts_by_kind, spec.task_kind, -1)
        if spec.owner_kind is Kind.service:
            _count(self.service_kinds, spec.task_kind, -1)

    def recharge(self, task: str, size: Capacity) -> None:
        """Charge ``size`` in place of the present charge of ``task``."""
        present = self.charges_by_task[task]
        self.free = subtract(add(self.free, present), size)
        self.charges_by_task[task] = size

    def resize(self, capacity: Capacity) -> None:
        """Take the announced capacity into use."""
        if capacity != self.capacity:
            self.free = add(self.free, subtract(capacity, self.capacity))
            self.capacity = capacity


def _count(counts: dict[str, int], kind: str, change: int) -> None:
    counts[kind] = counts.get(kind, 0) + change
    if not counts[kind]:
        counts.pop(kind)

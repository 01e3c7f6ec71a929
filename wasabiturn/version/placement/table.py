"""Table of workers and tasks that the leader places with.

It is rebuilt from the committed state by each new leader, follows committed
changes, and learns workers from their heartbeats. A worker may be charged
before it has been heard: its committed tasks count from the first moment.
"""

from typing import final

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import Capacity, Resource, TaskSpec
from wasabiturn.version.placement.capacity import add, subtract
from wasabiturn.version.placement.lifecycle import HOLDING, TERMINAL, OwnerRules
from wasabiturn.version.placement.periods import AGENT_LEASE_SECONDS

NEVER = float('-inf')


@final
@attrs.define
class Worker:
    """One worker, with the charges of the tasks that it holds."""

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
    charges_by_task: dict[str, Capacity] = attrs.field(factory=dict)
    past_incarnations: set[str] = attrs.field(factory=set)

    def is_heard(self, now: float) -> bool:
        """Tell whether a heartbeat came within the agent lease."""
        return now - self.heard_at <= AGENT_LEASE_SECONDS

    def accepts_starts(self, now: float) -> bool:
        """Tell whether new attempts may be assigned to the worker."""
        return self.reconciled and not self.leaving and self.is_heard(now)

    def charge(self, task: str, size: Capacity) -> None:
        """Charge ``size`` for ``task`` in place of its present charge."""
        self.discharge(task)
        self.charges_by_task[task] = size
        self.free = subtract(self.free, size)

    def discharge(self, task: str) -> None:
        """Return the charge of ``task``, if it has one."""
        size = self.charges_by_task.pop(task, None)
        if size is not None:
            self.free = add(self.free, size)

    def resize(self, capacity: Capacity) -> None:
        """Take the announced capacity into use."""
        self.free = add(self.free, subtract(capacity, self.capacity))
        self.capacity = capacity


@final
@attrs.define
class PlacementTable:
    """Workers, live tasks, and what their owners and the operators declare.

    ``granted_by_agent`` holds when the leader last answered each incarnation
    of an agent, keyed by worker name and incarnation. ``touched_workers``
    have orders that were not yet pushed.
    """

    leading_since: float
    workers_by_name: dict[str, Worker] = attrs.field(factory=dict)
    specs_by_task: dict[str, TaskSpec] = attrs.field(factory=dict)
    waiting_tasks: dict[str, TaskSpec] = attrs.field(factory=dict)
    owners_by_name: dict[tuple[Kind, str], Resource] = attrs.field(factory=dict)
    out_data_centres: set[str] = attrs.field(factory=set)
    granted_by_agent: dict[tuple[str, str], float] = attrs.field(factory=dict)
    checkpoints_by_task: dict[str, str] = attrs.field(factory=dict)
    touched_workers: set[str] = attrs.field(factory=set)

    def worker(self, name: str) -> Worker:
        """Return the worker ``name``, created unheard if it is new."""
        found = self.workers_by_name.get(name)
        if found is None:
            found = Worker(name=name)
            self.workers_by_name[name] = found
        return found

    def put_task(self, task: str, spec: TaskSpec) -> None:
        """Take the committed state of ``task`` into the table."""
        self.remove_task(task)
        if spec.state in TERMINAL:
            self.checkpoints_by_task.pop(task, None)
            return
        self.specs_by_task[task] = spec
        if spec.state in HOLDING:
            self.worker(spec.worker).charge(task, spec.size)
            self.touched_workers.add(spec.worker)
        elif spec.state is TaskState.waiting:
            self.waiting_tasks[task] = spec

    def remove_task(self, task: str) -> None:
        """Drop ``task`` and its charge."""
        present = self.specs_by_task.pop(task, None)
        self.waiting_tasks.pop(task, None)
        if present is not None and present.state in HOLDING:
            self.worker(present.worker).discharge(task)

    def rules_of(self, spec: TaskSpec) -> OwnerRules:
        """Return what the owner of a task says about failures."""
        owner = self.owners_by_name.get((spec.owner_kind, spec.owner))
        if owner is None or owner.job_spec is None:
            return OwnerRules()
        return OwnerRules(max_failures=owner.job_spec.max_failures)

    def granted_at(self, worker: str, incarnation: str) -> float:
        """Return the latest time at which a lease may have been granted.

        Leases of earlier leaders are not known: they were granted before
        this leader began to lead.
        """
        granted = self.granted_by_agent.get((worker, incarnation), NEVER)
        return max(granted, self.leading_since)


def create_table(
    leading_since: float,
    resources_by_kind: dict[Kind, dict[str, Resource]],
) -> PlacementTable:
    """Create the table of a leader that began to lead at ``leading_since``."""
    table = PlacementTable(leading_since=leading_since)
    for resources_by_name in resources_by_kind.values():
        for resource in resources_by_name.values():
            put_resource(table, resource)
    return table


def put_resource(table: PlacementTable, resource: Resource) -> None:
    """Take a committed resource into the table."""
    if resource.task_spec is not None:
        table.put_task(resource.name, resource.task_spec)
    elif resource.data_centre_spec is not None:
        _set_out(table, resource.name, resource.data_centre_spec.out)
    else:
        table.owners_by_name[resource.kind, resource.name] = resource


def remove_resource(table: PlacementTable, resource: Resource) -> None:
    """Drop a removed resource from the table."""
    if resource.kind is Kind.task:
        table.remove_task(resource.name)
    elif resource.kind is Kind.data_centre:
        _set_out(table, resource.name, is_out=False)
    else:
        table.owners_by_name.pop((resource.kind, resource.name), None)


def _set_out(table: PlacementTable, data_centre: str, is_out: bool) -> None:
    if is_out:
        table.out_data_centres.add(data_centre)
    else:
        table.out_data_centres.discard(data_centre)

"""Leader's table of workers and tasks, on which placement is based.

Each new leader rebuilds it from the committed state, then applies committed
changes and adds workers from their heartbeats. A worker may be charged before
its first heartbeat, because its committed tasks count immediately.
"""

from typing import final

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import Capacity, Resource, TaskSpec
from wasabiturn.version.placement.capacity import (
    ZERO_CAPACITY,
    add,
    elementwise_max,
    subtract,
)
from wasabiturn.version.placement.interference import InterferenceModel
from wasabiturn.version.placement.lifecycle import (
    HOLDING_STATES,
    TERMINAL_STATES,
    FailurePolicy,
)
from wasabiturn.version.placement.observations import Observations
from wasabiturn.version.placement.quarantine import Quarantine
from wasabiturn.version.placement.queue import QueuedOwner, WaitingQueue
from wasabiturn.version.placement.settings import (
    CONFIGURATION_NAME,
    PlacementSettings,
    parse_placement_settings,
)
from wasabiturn.version.placement.workers import NEVER, Worker


@final
@attrs.frozen
class Progress:
    """Run time of an attempt, in seconds, as reported at ``reported_at``."""

    run_seconds: float
    reported_at: float


@final
@attrs.frozen
class Reservation:
    """Room on a worker that is reserved for one waiting task.

    ``starts_at`` is when the room is expected to be free.
    """

    worker: str
    size: Capacity
    starts_at: float
    expires_at: float


@final
@attrs.define
class LearnedState:
    """Estimates from reports, which are not stored.

    A new leader starts without them.
    """

    interference: InterferenceModel = attrs.field(factory=InterferenceModel)
    observations: Observations = attrs.field(factory=Observations)
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    checkpoints_by_task: dict[str, str] = attrs.field(factory=dict)
    progress_by_task: dict[str, Progress] = attrs.field(factory=dict)
    throttles_by_task: dict[str, float] = attrs.field(factory=dict)
    # Since when the p99 of a worker's service is over or well below its limit;
    # restarted by each step of relief.
    over_target_since: dict[str, float] = attrs.field(factory=dict)
    recovered_since: dict[str, float] = attrs.field(factory=dict)
    # Difference of that p99 and its limit, as a share of the larger of the two.
    excess_by_worker: dict[str, float] = attrs.field(factory=dict)
    workers_with_raised_charge: set[str] = attrs.field(factory=set)
    eviction_times: list[float] = attrs.field(factory=list)

    def forget_task(self, task: str) -> None:
        """Drop the data of a task that has ended."""
        self.checkpoints_by_task.pop(task, None)
        self.progress_by_task.pop(task, None)
        self.throttles_by_task.pop(task, None)


@final
@attrs.define
class PlacementTable:
    """Workers, tasks that have not ended, their owners and the settings."""

    leading_since: float
    settings: PlacementSettings = attrs.field(factory=PlacementSettings)
    workers_by_name: dict[str, Worker] = attrs.field(factory=dict)
    specs_by_task: dict[str, TaskSpec] = attrs.field(factory=dict)
    tasks_by_owner: dict[tuple[Kind, str], set[str]] = attrs.field(factory=dict)
    queue: WaitingQueue = attrs.field(factory=WaitingQueue)
    owners_by_name: dict[tuple[Kind, str], Resource] = attrs.field(factory=dict)
    usage_by_team: dict[str, Capacity] = attrs.field(factory=dict)
    out_data_centres: set[str] = attrs.field(factory=set)
    # When the leader last granted leases, by worker name and incarnation.
    granted_at_by_incarnation: dict[tuple[str, str], float] = attrs.field(
        factory=dict
    )
    # Workers with orders that have not been pushed yet, in order of change.
    workers_to_notify: dict[str, None] = attrs.field(factory=dict)
    reservations_by_task: dict[str, Reservation] = attrs.field(factory=dict)
    evicting_tasks: set[str] = attrs.field(factory=set)
    impossible_tasks: set[str] = attrs.field(factory=set)
    surplus_services: set[str] = attrs.field(factory=set)
    # Counts released charges and changes to which data centres are out.
    release_count: int = 0
    learned: LearnedState = attrs.field(factory=LearnedState)

    def get_or_create_worker(self, name: str) -> Worker:
        """Return the worker ``name``, created if it is unknown."""
        found = self.workers_by_name.get(name)
        if found is None:
            found = Worker(name=name)
            self.workers_by_name[name] = found
        return found

    def put_task(self, task: str, spec: TaskSpec) -> None:
        """Add or replace ``task`` by its committed state."""
        self.remove_task(task)
        if spec.state in TERMINAL_STATES:
            self.learned.forget_task(task)
            return
        self.specs_by_task[task] = spec
        owner_key = (spec.owner_kind, spec.owner)
        self.tasks_by_owner.setdefault(owner_key, set()).add(task)
        if self._is_surplus(spec):
            self.surplus_services.add(spec.owner)
        if spec.state in HOLDING_STATES:
            self._charge_worker(task, spec)
        elif spec.state is TaskState.waiting:
            self._enqueue(task, spec)
        elif spec.state is TaskState.impossible:
            self.impossible_tasks.add(task)

    def remove_task(self, task: str) -> None:
        """Remove ``task`` and release its charge."""
        current = self.specs_by_task.pop(task, None)
        if current is None:
            return
        owner_key = (current.owner_kind, current.owner)
        self.tasks_by_owner[owner_key].discard(task)
        self.queue.remove(task)
        self.impossible_tasks.discard(task)
        if current.state in HOLDING_STATES:
            self._release_worker(task, current)

    def owner_of(self, spec: TaskSpec) -> Resource | None:
        """Return the service or job of a task, unless it was removed."""
        return self.owners_by_name.get((spec.owner_kind, spec.owner))

    def team_of(self, spec: TaskSpec) -> str:
        """Return the team of a task."""
        owner = self.owner_of(spec)
        return owner.team if owner else ''

    def charged_size(self, spec: TaskSpec) -> Capacity:
        """Return the largest of the committed, declared and observed size."""
        observations = self.learned.observations
        declared = self.declared_size(spec)
        observed = observations.charged_size(spec.task_kind, declared)
        return elementwise_max(spec.size, observed)

    def declared_size(self, spec: TaskSpec) -> Capacity:
        """Return the size that the owner of a task declares."""
        owner = self.owner_of(spec)
        declared = owner and (owner.job_spec or owner.service_spec)
        return declared.size if declared else spec.size

    def failure_policy_of(self, spec: TaskSpec) -> FailurePolicy:
        """Return the failure policy of the owner of a task."""
        owner = self.owner_of(spec)
        if owner is None or owner.job_spec is None:
            return FailurePolicy()
        return FailurePolicy(max_failures=owner.job_spec.max_failures)

    def latest_grant_at(self, worker: str, incarnation: str) -> float:
        """Return the latest time at which a lease may have been granted.

        Leases granted by earlier leaders are unknown, but they were granted
        before this leader began to lead.
        """
        granted = self.granted_at_by_incarnation.get(
            (worker, incarnation), NEVER
        )
        return max(granted, self.leading_since)

    def _charge_worker(self, task: str, spec: TaskSpec) -> None:
        worker = self.get_or_create_worker(spec.worker)
        worker.charge(task, spec, self.charged_size(spec))
        worker.starting += spec.state is TaskState.assigned
        self.workers_to_notify[spec.worker] = None
        self.reservations_by_task.pop(task, None)
        team = self.team_of(spec)
        used = self.usage_by_team.get(team, ZERO_CAPACITY)
        self.usage_by_team[team] = add(used, spec.size)
        if spec.state is TaskState.evicting:
            self.evicting_tasks.add(task)

    def _release_worker(self, task: str, spec: TaskSpec) -> None:
        worker = self.get_or_create_worker(spec.worker)
        worker.release(task, spec)
        worker.starting -= spec.state is TaskState.assigned
        team = self.team_of(spec)
        used = self.usage_by_team.get(team, ZERO_CAPACITY)
        self.usage_by_team[team] = subtract(used, spec.size)
        self.evicting_tasks.discard(task)
        self.release_count += 1

    def _is_surplus(self, spec: TaskSpec) -> bool:
        if spec.owner_kind is not Kind.service:
            return False
        owner = self.owner_of(spec)
        if owner is None or owner.service_spec is None:
            return True
        return spec.number >= owner.service_spec.replicas

    def _enqueue(self, task: str, spec: TaskSpec) -> None:
        owner = self.owner_of(spec)
        queued = QueuedOwner(
            created=owner.created if owner else 0,
            name=spec.owner,
            kind=spec.owner_kind,
        )
        self.queue.put(task, spec, self.team_of(spec), queued)


def create_table(
    leading_since: float,
    resources_by_kind: dict[Kind, dict[str, Resource]],
) -> PlacementTable:
    """Create the table of a leader that began to lead at ``leading_since``."""
    table = PlacementTable(leading_since=leading_since)
    kinds = sorted(resources_by_kind, key=lambda kind: kind is Kind.task)
    for kind in kinds:
        for resource in resources_by_kind[kind].values():
            put_resource(table, resource)
    return table


def put_resource(table: PlacementTable, resource: Resource) -> None:
    """Add or replace a committed resource."""
    if resource.task_spec is not None:
        table.put_task(resource.name, resource.task_spec)
    elif resource.data_centre_spec is not None:
        _set_data_centre_out(
            table, resource.name, resource.data_centre_spec.out
        )
    elif resource.configuration_spec is not None:
        if resource.name == CONFIGURATION_NAME:
            _set_settings(table, resource.configuration_spec.settings)
    else:
        _put_owner(table, resource)


def remove_resource(table: PlacementTable, resource: Resource) -> None:
    """Remove a resource that was deleted."""
    if resource.kind is Kind.task:
        table.remove_task(resource.name)
        table.learned.forget_task(resource.name)
    elif resource.kind is Kind.data_centre:
        _set_data_centre_out(table, resource.name, is_out=False)
    elif resource.kind is Kind.configuration:
        if resource.name == CONFIGURATION_NAME:
            table.settings = PlacementSettings()
    else:
        _change_owner(table, resource, None)


def _put_owner(table: PlacementTable, resource: Resource) -> None:
    if resource.kind in {Kind.service, Kind.job}:
        _change_owner(table, resource, resource)
    else:
        table.owners_by_name[resource.kind, resource.name] = resource


def _change_owner(
    table: PlacementTable,
    resource: Resource,
    replacement: Resource | None,
) -> None:
    """Replace an owner, and add its tasks again under their new team."""
    key = (resource.kind, resource.name)
    tasks = list(table.tasks_by_owner.get(key, ()))
    specs = {task: table.specs_by_task[task] for task in tasks}
    for task in tasks:
        table.remove_task(task)
    if replacement is None:
        table.owners_by_name.pop(key, None)
    else:
        table.owners_by_name[key] = replacement
    for task, spec in specs.items():
        table.put_task(task, spec)


def _set_settings(table: PlacementTable, settings: dict[str, str]) -> None:
    parsed = parse_placement_settings(settings)
    if parsed.is_ok():
        table.settings = parsed.ok


def _set_data_centre_out(
    table: PlacementTable, data_centre: str, is_out: bool
) -> None:
    table.release_count += 1
    if is_out:
        table.out_data_centres.add(data_centre)
    else:
        table.out_data_centres.discard(data_centre)

"""Lifecycle of the tasks that services and jobs own."""

from collections.abc import Iterator

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import Change, Resource, TaskSpec
from wasabiturn.version.state import State, remove_resource, store_resource
from wasabiturn.version.task_plans import (
    TaskPlan,
    build_task_name,
    create_task_plan,
)

ACTIVE_STATES = frozenset(
    (
        TaskState.assigned,
        TaskState.running,
        TaskState.evicting,
        TaskState.stopping,
    )
)
TERMINAL_STATES = frozenset(
    (TaskState.finished, TaskState.failed, TaskState.cancelled),
)


def reconcile_tasks(
    state: State,
    owner: Resource,
    previous: Resource | None,
) -> Iterator[Change]:
    """Make the tasks of ``owner`` match its declaration.

    Waiting tasks get the new declaration; active tasks keep the one they were
    started with.
    """
    plan = create_task_plan(owner)
    for number in range(plan.desired_count):
        yield from _reconcile_task(state, owner, plan, number)
    declared_count = max(
        plan.declared_count, create_task_plan(previous).declared_count
    )
    for surplus in range(plan.desired_count, declared_count):
        keep = surplus < plan.declared_count
        yield from _stop_or_remove(
            state, build_task_name(owner.name, surplus), keep
        )


def stop_or_remove_tasks(state: State, owner: Resource) -> Iterator[Change]:
    """Stop or remove the tasks of a removed ``owner``."""
    for number in range(create_task_plan(owner).declared_count):
        yield from _stop_or_remove(
            state, build_task_name(owner.name, number), keep=False
        )


def handle_terminal_task(state: State, task: Resource) -> Iterator[Change]:
    """Remove or restart a task that has reached a terminal state.

    A task that its owner no longer declares is removed. A cancelled replica
    that its service declares again returns to ``waiting``.
    """
    spec = task.task_spec
    if spec is None or spec.state not in TERMINAL_STATES:
        return
    owner = state.resources_by_kind[spec.owner_kind].get(spec.owner)
    plan = create_task_plan(owner)
    if spec.number >= plan.declared_count:
        yield remove_resource(state, task)
    elif spec.owner_kind is Kind.service and _is_cancelled(spec):
        updated = attrs.evolve(spec, state=TaskState.waiting, reason='')
        yield store_resource(state, attrs.evolve(task, task_spec=updated))


def add_surplus_replica(state: State, service: str) -> Iterator[Change]:
    """Create one waiting replica beyond those that ``service`` declares.

    It is removed once it reaches a terminal state. A service has at most as
    many surplus replicas as declared ones.
    """
    owner = state.resources_by_kind[Kind.service].get(service)
    if owner is None:
        return
    plan = create_task_plan(owner)
    for number in range(plan.declared_count, 2 * plan.declared_count):
        name = build_task_name(service, number)
        if name not in state.resources_by_kind[Kind.task]:
            spec = attrs.evolve(
                plan.task_spec,
                number=number,
                attempt=state.revision,
            )
            yield store_resource(state, _create_task(owner, name, spec))
            return


def find_leftover_task(state: State, owner: Resource) -> Resource | None:
    """Return a task that remains of an earlier owner of the same name."""
    for number in range(create_task_plan(owner).declared_count):
        name = build_task_name(owner.name, number)
        task = state.resources_by_kind[Kind.task].get(name)
        if task is not None:
            return task
    return None


def _reconcile_task(
    state: State,
    owner: Resource,
    plan: TaskPlan,
    number: int,
) -> Iterator[Change]:
    name = build_task_name(owner.name, number)
    task = state.resources_by_kind[Kind.task].get(name)
    if task is None:
        # Starting at the revision numbers the attempts above all attempts of
        # an earlier task of this name, which agents may remember.
        spec = attrs.evolve(
            plan.task_spec,
            number=number,
            attempt=state.revision,
        )
        yield store_resource(state, _create_task(owner, name, spec))
    elif task.task_spec is not None and _is_pending(task.task_spec):
        yield from _update_spec(state, owner, task, plan.task_spec)


def _create_task(owner: Resource, name: str, spec: TaskSpec) -> Resource:
    return Resource(
        kind=Kind.task,
        name=name,
        team=owner.team,
        task_spec=spec,
    )


def _update_spec(
    state: State,
    owner: Resource,
    task: Resource,
    declared_spec: TaskSpec,
) -> Iterator[Change]:
    spec = task.task_spec or declared_spec
    updated_spec = attrs.evolve(
        spec,
        state=TaskState.waiting,
        reason='',
        size=declared_spec.size,
        task_kind=declared_spec.task_kind,
        idempotent=declared_spec.idempotent,
        urgent=declared_spec.urgent,
    )
    if updated_spec != spec or task.team != owner.team:
        updated = attrs.evolve(task, team=owner.team, task_spec=updated_spec)
        yield store_resource(state, updated)


def _stop_or_remove(state: State, name: str, keep: bool) -> Iterator[Change]:
    task = state.resources_by_kind[Kind.task].get(name)
    if task is None or task.task_spec is None:
        return
    spec = task.task_spec
    if spec.state in ACTIVE_STATES:
        stopping = attrs.evolve(spec, state=TaskState.stopping)
        if stopping != spec:
            yield store_resource(state, attrs.evolve(task, task_spec=stopping))
    elif not keep:
        yield remove_resource(state, task)
    elif spec.state not in TERMINAL_STATES:
        cancelled = attrs.evolve(spec, state=TaskState.cancelled)
        yield store_resource(state, attrs.evolve(task, task_spec=cancelled))


def _is_pending(spec: TaskSpec) -> bool:
    return spec.state in {TaskState.waiting, TaskState.impossible}


def _is_cancelled(spec: TaskSpec) -> bool:
    return spec.state is TaskState.cancelled

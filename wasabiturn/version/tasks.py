"""Tasks that services and jobs own: creation, withdrawal, settlement."""

from collections.abc import Iterator

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import Change, Resource, TaskSpec
from wasabiturn.version.state import State, discard, store
from wasabiturn.version.task_plans import Plan, create_plan, task_name

ACTIVE_STATES = frozenset(
    (
        TaskState.assigned,
        TaskState.running,
        TaskState.evicting,
        TaskState.stopping,
    )
)
SETTLED_STATES = frozenset(
    (TaskState.finished, TaskState.failed, TaskState.cancelled),
)


def align_tasks(
    state: State,
    owner: Resource,
    previous: Resource | None,
) -> Iterator[Change]:
    """Make the tasks of ``owner`` match its declaration.

    Tasks that wait take the new declaration; those that run keep theirs.
    """
    plan = create_plan(owner)
    for number in range(plan.wanted):
        yield from _align_task(state, owner, plan, number)
    declared = max(plan.declared, create_plan(previous).declared)
    for surplus in range(plan.wanted, declared):
        keep = surplus < plan.declared
        yield from _withdraw(state, task_name(owner.name, surplus), keep)


def withdraw_tasks(state: State, owner: Resource) -> Iterator[Change]:
    """Stop or remove the tasks of an ``owner`` that was removed."""
    for number in range(create_plan(owner).declared):
        yield from _withdraw(state, task_name(owner.name, number), keep=False)


def settle_task(state: State, task: Resource) -> Iterator[Change]:
    """Follow up a task that has reached a settled state.

    A task whose owner no longer declares it is removed. A replica that was
    withdrawn and is declared again begins anew.
    """
    spec = task.task_spec
    if spec is None or spec.state not in SETTLED_STATES:
        return
    owner = state.resources_by_kind[spec.owner_kind].get(spec.owner)
    plan = create_plan(owner)
    if spec.number >= plan.declared:
        yield discard(state, task)
    elif spec.owner_kind is Kind.service and _was_withdrawn(spec):
        renewed = attrs.evolve(spec, state=TaskState.waiting, reason='')
        yield store(state, attrs.evolve(task, task_spec=renewed))


def add_surplus(state: State, service: str) -> Iterator[Change]:
    """Create one waiting replica beyond those that ``service`` declares.

    It is removed once it is settled. There are at most as many of them as
    declared replicas.
    """
    owner = state.resources_by_kind[Kind.service].get(service)
    if owner is None:
        return
    plan = create_plan(owner)
    for number in range(plan.declared, 2 * plan.declared):
        name = task_name(service, number)
        if name not in state.resources_by_kind[Kind.task]:
            spec = attrs.evolve(
                plan.task_spec,
                number=number,
                attempt=state.revision,
            )
            yield store(state, _create_task(owner, name, spec))
            return


def find_leftover(state: State, owner: Resource) -> Resource | None:
    """Return a task of an earlier owner of the same name, if one remains."""
    for number in range(create_plan(owner).declared):
        name = task_name(owner.name, number)
        task = state.resources_by_kind[Kind.task].get(name)
        if task is not None:
            return task
    return None


def _align_task(
    state: State,
    owner: Resource,
    plan: Plan,
    number: int,
) -> Iterator[Change]:
    name = task_name(owner.name, number)
    task = state.resources_by_kind[Kind.task].get(name)
    if task is None:
        # Attempts of a later task of this name are numbered above all
        # attempts of an earlier one, which agents may remember.
        spec = attrs.evolve(
            plan.task_spec,
            number=number,
            attempt=state.revision,
        )
        yield store(state, _create_task(owner, name, spec))
    elif task.task_spec is not None and _waits(task.task_spec):
        yield from _redeclare(state, owner, task, plan.task_spec)


def _create_task(owner: Resource, name: str, spec: TaskSpec) -> Resource:
    return Resource(
        kind=Kind.task,
        name=name,
        team=owner.team,
        task_spec=spec,
    )


def _redeclare(
    state: State,
    owner: Resource,
    task: Resource,
    declared: TaskSpec,
) -> Iterator[Change]:
    spec = task.task_spec or declared
    redeclared = attrs.evolve(
        spec,
        state=TaskState.waiting,
        reason='',
        size=declared.size,
        task_kind=declared.task_kind,
        idempotent=declared.idempotent,
        urgent=declared.urgent,
    )
    if redeclared != spec or task.team != owner.team:
        renewed = attrs.evolve(task, team=owner.team, task_spec=redeclared)
        yield store(state, renewed)


def _withdraw(state: State, name: str, keep: bool) -> Iterator[Change]:
    task = state.resources_by_kind[Kind.task].get(name)
    if task is None or task.task_spec is None:
        return
    spec = task.task_spec
    if spec.state in ACTIVE_STATES:
        stopping = attrs.evolve(spec, state=TaskState.stopping)
        if stopping != spec:
            yield store(state, attrs.evolve(task, task_spec=stopping))
    elif not keep:
        yield discard(state, task)
    elif spec.state not in SETTLED_STATES:
        cancelled = attrs.evolve(spec, state=TaskState.cancelled)
        yield store(state, attrs.evolve(task, task_spec=cancelled))


def _waits(spec: TaskSpec) -> bool:
    return spec.state in {TaskState.waiting, TaskState.impossible}


def _was_withdrawn(spec: TaskSpec) -> bool:
    return spec.state is TaskState.cancelled

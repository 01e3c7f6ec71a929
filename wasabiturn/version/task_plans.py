"""Task plans: the tasks that a service or a job declares."""

from functools import singledispatch
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import (
    JobSpec,
    Resource,
    ServiceSpec,
    TaskSpec,
)

OWNER_KINDS = frozenset((Kind.service, Kind.job))


@final
@attrs.frozen
class TaskPlan:
    """Number of tasks of an owner, and the specification of each.

    ``desired_count`` is the number that should exist now: 0 once a job is
    cancelled. ``declared_count`` is the number that the owner declares.
    """

    desired_count: int
    declared_count: int
    task_spec: TaskSpec


_EMPTY_PLAN = TaskPlan(desired_count=0, declared_count=0, task_spec=TaskSpec())


def build_task_name(owner: str, number: int) -> str:
    """Return the name of task ``number`` of ``owner``, counted from 0."""
    return f'{owner}.{number}'


def create_task_plan(owner: Resource | None) -> TaskPlan:
    """Return the task plan of ``owner``; other kinds declare no tasks."""
    if owner is None:
        return _EMPTY_PLAN
    return _create_plan_from_spec(
        owner.service_spec or owner.job_spec, owner.name
    )


@singledispatch
def _create_plan_from_spec(spec: object, owner: str) -> TaskPlan:
    return _EMPTY_PLAN


@_create_plan_from_spec.register
def _(spec: ServiceSpec, owner: str) -> TaskPlan:
    return TaskPlan(
        desired_count=spec.replicas,
        declared_count=spec.replicas,
        task_spec=TaskSpec(
            owner_kind=Kind.service,
            owner=owner,
            size=spec.size,
            task_kind=spec.task_kind,
            idempotent=True,
        ),
    )


@_create_plan_from_spec.register
def _(spec: JobSpec, owner: str) -> TaskPlan:
    return TaskPlan(
        desired_count=0 if spec.cancelled else spec.tasks,
        declared_count=spec.tasks,
        task_spec=TaskSpec(
            owner_kind=Kind.job,
            owner=owner,
            size=spec.size,
            task_kind=spec.task_kind,
            idempotent=spec.idempotent,
            urgent=spec.urgent,
        ),
    )

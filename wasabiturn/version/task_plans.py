"""Tasks that a service or a job declares."""

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
class Plan:
    """Tasks that an owner declares, and what each is to be."""

    wanted: int
    declared: int
    task_spec: TaskSpec


_NO_PLAN = Plan(wanted=0, declared=0, task_spec=TaskSpec())


def task_name(owner: str, number: int) -> str:
    """Return the name of one task of ``owner``, counted from 0."""
    return f'{owner}.{number}'


def create_plan(owner: Resource | None) -> Plan:
    """Return the tasks that ``owner`` declares; none for other kinds."""
    if owner is None:
        return _NO_PLAN
    return _plan_spec(owner.service_spec or owner.job_spec, owner.name)


@singledispatch
def _plan_spec(spec: object, owner: str) -> Plan:
    return _NO_PLAN


@_plan_spec.register
def _(spec: ServiceSpec, owner: str) -> Plan:
    return Plan(
        wanted=spec.replicas,
        declared=spec.replicas,
        task_spec=TaskSpec(
            owner_kind=Kind.service,
            owner=owner,
            size=spec.size,
            task_kind=spec.task_kind,
            idempotent=True,
        ),
    )


@_plan_spec.register
def _(spec: JobSpec, owner: str) -> Plan:
    return Plan(
        wanted=0 if spec.cancelled else spec.tasks,
        declared=spec.tasks,
        task_spec=TaskSpec(
            owner_kind=Kind.job,
            owner=owner,
            size=spec.size,
            task_kind=spec.task_kind,
            idempotent=spec.idempotent,
            urgent=spec.urgent,
        ),
    )

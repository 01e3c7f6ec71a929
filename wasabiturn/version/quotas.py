"""Checks of services and jobs against the quota of their team."""

import attrs

from wasabiturn.messages.kinds import Kind, OutcomeCode
from wasabiturn.messages.state import Capacity, Outcome, Resource
from wasabiturn.version.refusals import create_refusal
from wasabiturn.version.state import State
from wasabiturn.version.task_plans import OWNER_KINDS, create_task_plan

DEFAULT_TEAM = 'default'


def check_team_quota(state: State, requested: Resource) -> Outcome | None:
    """Return the refusal if the team's quota does not allow ``requested``.

    The replicas of all services of a team must fit into its quota at the same
    time. The tasks of a job can wait in the queue, so a single task must fit.
    A quota of 0 allows no use of that resource. The default team has no quota
    unless it is declared.
    """
    if requested.kind not in OWNER_KINDS:
        return None
    team = state.resources_by_kind[Kind.team].get(requested.team)
    if team is None or team.team_spec is None:
        return _check_missing_team(requested)
    required = _sum_declared_size(state, requested)
    quota = team.team_spec.quota
    for field in attrs.fields(Capacity):
        limit = getattr(quota, field.name)
        total = getattr(required, field.name)
        if total > limit:
            return create_refusal(
                OutcomeCode.quota,
                f'team {team.name} may use {limit:g} {field.name}, '
                f'and would use {total:g}',
                field=f'size.{field.name}',
            )
    return None


def find_team_member(state: State, team: str) -> Resource | None:
    """Return a service or job that belongs to ``team``, or ``None``."""
    for kind in sorted(OWNER_KINDS):
        for resource in state.resources_by_kind[kind].values():
            if resource.team == team:
                return resource
    return None


def _check_missing_team(requested: Resource) -> Outcome | None:
    if requested.team == DEFAULT_TEAM:
        return None
    return create_refusal(
        OutcomeCode.invalid,
        f'there is no team {requested.team!r}; declare it first',
        field='team',
    )


def _sum_declared_size(state: State, requested: Resource) -> Capacity:
    if requested.kind is Kind.job:
        return create_task_plan(requested).task_spec.size
    others = [
        service
        for service in state.resources_by_kind[Kind.service].values()
        if service.team == requested.team and service.name != requested.name
    ]
    total = Capacity()
    for service in (*others, requested):
        plan = create_task_plan(service)
        size = plan.task_spec.size
        total.cores += size.cores * plan.declared_count
        total.memory_mb += size.memory_mb * plan.declared_count
        total.accelerators += size.accelerators * plan.declared_count
    return total

"""Teams: what a declaration may ask of its team's quota."""

import attrs

from wasabiturn.messages.kinds import Kind, OutcomeCode
from wasabiturn.messages.state import Capacity, Outcome, Resource
from wasabiturn.version.refusals import refuse
from wasabiturn.version.state import State
from wasabiturn.version.task_plans import OWNER_KINDS, create_plan

DEFAULT_TEAM = 'default'


def check_team(state: State, wanted: Resource) -> Outcome | None:
    """Return why the team of ``wanted`` does not allow it, if so.

    The replicas of all services of a team fit into its quota at once. Jobs
    queue, so only a single task of each has to fit. A quota of 0 is none of
    that kind; the default team has no quota unless it is declared.
    """
    if wanted.kind not in OWNER_KINDS:
        return None
    team = state.resources_by_kind[Kind.team].get(wanted.team)
    if team is None or team.team_spec is None:
        return _check_undeclared(wanted)
    asked = _sum_declared(state, wanted)
    quota = team.team_spec.quota
    for field in attrs.fields(Capacity):
        limit = getattr(quota, field.name)
        total = getattr(asked, field.name)
        if total > limit:
            return refuse(
                OutcomeCode.quota,
                f'team {team.name} may use {limit:g} {field.name}, '
                f'and would use {total:g}',
                field=f'size.{field.name}',
            )
    return None


def find_member(state: State, team: str) -> Resource | None:
    """Return a service or job that belongs to ``team``, if there is one."""
    for kind in sorted(OWNER_KINDS):
        for resource in state.resources_by_kind[kind].values():
            if resource.team == team:
                return resource
    return None


def _check_undeclared(wanted: Resource) -> Outcome | None:
    if wanted.team == DEFAULT_TEAM:
        return None
    return refuse(
        OutcomeCode.invalid,
        f'there is no team {wanted.team!r}; declare it first',
        field='team',
    )


def _sum_declared(state: State, wanted: Resource) -> Capacity:
    if wanted.kind is Kind.job:
        return create_plan(wanted).task_spec.size
    others = [
        service
        for service in state.resources_by_kind[Kind.service].values()
        if service.team == wanted.team and service.name != wanted.name
    ]
    total = Capacity()
    for service in (*others, wanted):
        plan = create_plan(service)
        size = plan.task_spec.size
        total.cores += size.cores * plan.declared
        total.memory_mb += size.memory_mb * plan.declared
        total.accelerators += size.accelerators * plan.declared
    return total

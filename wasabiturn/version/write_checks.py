"""Checks of writes of resources against the state."""

from types import MappingProxyType

from wasabiturn.messages.kinds import Kind, OutcomeCode
from wasabiturn.messages.state import (
    DeleteResource,
    Outcome,
    PutResource,
    Resource,
)
from wasabiturn.version.quotas import check_team, find_member
from wasabiturn.version.refusals import refuse
from wasabiturn.version.state import State
from wasabiturn.version.task_plans import OWNER_KINDS
from wasabiturn.version.tasks import find_leftover

ANY_REVISION = -1
SPEC_FIELDS_BY_KIND = MappingProxyType(
    {
        Kind.service: 'service_spec',
        Kind.job: 'job_spec',
        Kind.data_centre: 'data_centre_spec',
        Kind.configuration: 'configuration_spec',
        Kind.team: 'team_spec',
    },
)


def check_put(
    body: PutResource,
    present: Resource | None,
    state: State,
) -> Outcome | None:
    """Return why ``body`` is refused, given the ``present`` resource."""
    wanted = body.resource
    refusal = (
        _check_spec(wanted)
        or _check_revision(body.expected_revision, present)
        or _check_actor(body.actor_team, present or wanted)
        or _check_actor(body.actor_team, wanted)
    )
    return refusal or _check_declaration(wanted, present, state)


def check_delete(
    body: DeleteResource,
    present: Resource,
    state: State,
) -> Outcome | None:
    """Return why ``body`` is refused, given the ``present`` resource."""
    return (
        _check_revision(body.expected_revision, present)
        or _check_actor(body.actor_team, present)
        or _check_members(state, present)
    )


def refuse_kind() -> Outcome:
    """Refuse a write of a kind that operators do not write."""
    text = 'resources of this kind are not written by operators'
    return refuse(OutcomeCode.invalid, text, field='kind')


def _check_declaration(
    wanted: Resource,
    present: Resource | None,
    state: State,
) -> Outcome | None:
    return (
        _check_cancelled(wanted, present)
        or _check_leftover(state, wanted, present)
        or check_team(state, wanted)
    )


def _check_spec(wanted: Resource) -> Outcome | None:
    spec_field = SPEC_FIELDS_BY_KIND.get(wanted.kind)
    if spec_field is None:
        return refuse_kind()
    if getattr(wanted, spec_field) is None:
        return refuse(OutcomeCode.invalid, 'is missing', field='spec')
    return None


def _check_revision(
    expected: int,
    present: Resource | None,
) -> Outcome | None:
    revision = present.revision if present else 0
    if expected in {ANY_REVISION, revision}:
        return None
    text = f'the present revision is {revision}, not {expected}'
    return refuse(OutcomeCode.conflict, text, present=present)


def _check_actor(actor_team: str, resource: Resource) -> Outcome | None:
    if actor_team in {'', resource.team}:
        return None
    text = f'{resource.name!r} belongs to another team'
    return refuse(OutcomeCode.forbidden, text, field='team')


def _check_cancelled(
    wanted: Resource,
    present: Resource | None,
) -> Outcome | None:
    if present is None or present.job_spec is None or wanted.job_spec is None:
        return None
    if present.job_spec.cancelled and not wanted.job_spec.cancelled:
        text = 'a cancelled job cannot be resumed; delete it first'
        return refuse(OutcomeCode.invalid, text, field='cancelled')
    return None


def _check_leftover(
    state: State,
    wanted: Resource,
    present: Resource | None,
) -> Outcome | None:
    if present is not None or wanted.kind not in OWNER_KINDS:
        return None
    other = Kind.job if wanted.kind is Kind.service else Kind.service
    if wanted.name in state.resources_by_kind[other]:
        text = f'there is a {other.name} of this name'
        return refuse(OutcomeCode.conflict, text, field='name')
    task = find_leftover(state, wanted)
    if task is None:
        return None
    text = f'task {task.name!r} of an earlier owner exists; try again later'
    return refuse(OutcomeCode.conflict, text, field='name')


def _check_members(state: State, present: Resource) -> Outcome | None:
    if present.kind is not Kind.team:
        return None
    member = find_member(state, present.name)
    if member is None:
        return None
    text = f'{member.kind.name} {member.name!r} belongs to the team'
    return refuse(OutcomeCode.conflict, text, present=present)

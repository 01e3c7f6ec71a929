"""Checks of resource writes against the state."""

from types import MappingProxyType

from wasabiturn.messages.kinds import Kind, OutcomeCode
from wasabiturn.messages.state import (
    DeleteResource,
    Outcome,
    PutResource,
    Resource,
)
from wasabiturn.version.quotas import check_team_quota, find_team_member
from wasabiturn.version.refusals import create_refusal
from wasabiturn.version.state import State
from wasabiturn.version.task_plans import OWNER_KINDS
from wasabiturn.version.tasks import find_leftover_task

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
    existing: Resource | None,
    state: State,
) -> Outcome | None:
    """Return the refusal of the put in ``body``, or ``None``."""
    requested = body.resource
    refusal = (
        _check_spec(requested)
        or _check_revision(body.expected_revision, existing)
        or _check_actor_team(body.actor_team, existing or requested)
        or _check_actor_team(body.actor_team, requested)
    )
    return refusal or _check_declaration(requested, existing, state)


def check_delete(
    body: DeleteResource,
    existing: Resource,
    state: State,
) -> Outcome | None:
    """Return the refusal of the delete in ``body``, or ``None``."""
    return (
        _check_revision(body.expected_revision, existing)
        or _check_actor_team(body.actor_team, existing)
        or _check_team_is_empty(state, existing)
    )


def create_kind_refusal() -> Outcome:
    """Create the refusal of a kind that operators cannot write."""
    text = 'resources of this kind are not written by operators'
    return create_refusal(OutcomeCode.invalid, text, field='kind')


def _check_declaration(
    requested: Resource,
    existing: Resource | None,
    state: State,
) -> Outcome | None:
    return (
        _check_not_resumed(requested, existing)
        or _check_name_is_free(state, requested, existing)
        or check_team_quota(state, requested)
    )


def _check_spec(requested: Resource) -> Outcome | None:
    spec_field = SPEC_FIELDS_BY_KIND.get(requested.kind)
    if spec_field is None:
        return create_kind_refusal()
    if getattr(requested, spec_field) is None:
        return create_refusal(OutcomeCode.invalid, 'is missing', field='spec')
    return None


def _check_revision(
    expected: int,
    existing: Resource | None,
) -> Outcome | None:
    revision = existing.revision if existing else 0
    if expected in {ANY_REVISION, revision}:
        return None
    text = f'the present revision is {revision}, not {expected}'
    return create_refusal(OutcomeCode.conflict, text, existing=existing)


def _check_actor_team(actor_team: str, resource: Resource) -> Outcome | None:
    if actor_team in {'', resource.team}:
        return None
    text = f'{resource.name!r} belongs to another team'
    return create_refusal(OutcomeCode.forbidden, text, field='team')


def _check_not_resumed(
    requested: Resource,
    existing: Resource | None,
) -> Outcome | None:
    if (
        existing is None
        or existing.job_spec is None
        or requested.job_spec is None
    ):
        return None
    if existing.job_spec.cancelled and not requested.job_spec.cancelled:
        text = 'a cancelled job cannot be resumed; delete it first'
        return create_refusal(OutcomeCode.invalid, text, field='cancelled')
    return None


def _check_name_is_free(
    state: State,
    requested: Resource,
    existing: Resource | None,
) -> Outcome | None:
    if existing is not None or requested.kind not in OWNER_KINDS:
        return None
    other = Kind.job if requested.kind is Kind.service else Kind.service
    if requested.name in state.resources_by_kind[other]:
        text = f'there is a {other.name} of this name'
        return create_refusal(OutcomeCode.conflict, text, field='name')
    task = find_leftover_task(state, requested)
    if task is None:
        return None
    text = f'task {task.name!r} of an earlier owner exists; try again later'
    return create_refusal(OutcomeCode.conflict, text, field='name')


def _check_team_is_empty(state: State, existing: Resource) -> Outcome | None:
    if existing.kind is not Kind.team:
        return None
    member = find_team_member(state, existing.name)
    if member is None:
        return None
    text = f'{member.kind.name} {member.name!r} belongs to the team'
    return create_refusal(OutcomeCode.conflict, text, existing=existing)

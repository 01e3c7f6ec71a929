"""Application of writes of resources."""

import attrs

from wasabiturn.messages.kinds import Kind, OutcomeCode
from wasabiturn.messages.state import (
    Change,
    DeleteResource,
    Outcome,
    PutResource,
    Resource,
)
from wasabiturn.version.refusals import refuse, refused
from wasabiturn.version.state import Effect, State, discard, store
from wasabiturn.version.task_plans import OWNER_KINDS
from wasabiturn.version.tasks import align_tasks, withdraw_tasks
from wasabiturn.version.write_checks import (
    SPEC_FIELDS_BY_KIND,
    check_delete,
    check_put,
    refuse_kind,
)


def put_resource(body: PutResource, state: State) -> Effect:
    """Create or replace a resource, with the tasks that it declares."""
    wanted = body.resource
    present = state.resources_by_kind[wanted.kind].get(wanted.name)
    refusal = check_put(body, present, state)
    if refusal is not None:
        return refused(state, refusal)
    if present is not None and _is_same(wanted, present):
        return _accepted(state, present, [])
    stored = store(state, wanted)
    changes = [stored]
    if wanted.kind in OWNER_KINDS:
        changes.extend(align_tasks(state, stored.resource, present))
    return _accepted(state, stored.resource, changes)


def delete_resource(body: DeleteResource, state: State) -> Effect:
    """Remove a resource; its tasks stop, and go once they have stopped."""
    if body.kind not in SPEC_FIELDS_BY_KIND:
        return refused(state, refuse_kind())
    present = state.resources_by_kind[Kind(body.kind)].get(body.name)
    if present is None:
        text = f'there is no {Kind(body.kind).name} {body.name!r}'
        return refused(state, refuse(OutcomeCode.not_found, text))
    refusal = check_delete(body, present, state)
    if refusal is not None:
        return refused(state, refusal)
    changes = [discard(state, present)]
    changes.extend(withdraw_tasks(state, present))
    return _accepted(state, present, changes)


def _accepted(
    state: State,
    resource: Resource,
    changes: list[Change],
) -> Effect:
    outcome = Outcome(revision=state.revision, resource=resource)
    return Effect(outcome=outcome, changes=tuple(changes))


def _is_same(wanted: Resource, present: Resource) -> bool:
    return present == attrs.evolve(
        wanted,
        revision=present.revision,
        created=present.created,
    )

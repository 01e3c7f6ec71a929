"""Application of resource writes."""

import attrs

from wasabiturn.messages.kinds import Kind, OutcomeCode
from wasabiturn.messages.state import (
    Change,
    DeleteResource,
    Outcome,
    PutResource,
    Resource,
)
from wasabiturn.version.refusals import create_refusal, create_refusal_effect
from wasabiturn.version.state import (
    Effect,
    State,
    remove_resource,
    store_resource,
)
from wasabiturn.version.task_plans import OWNER_KINDS
from wasabiturn.version.tasks import reconcile_tasks, stop_or_remove_tasks
from wasabiturn.version.write_checks import (
    SPEC_FIELDS_BY_KIND,
    check_delete,
    check_put,
    create_kind_refusal,
)


def put_resource(body: PutResource, state: State) -> Effect:
    """Create or replace a resource, and reconcile the tasks it declares."""
    requested = body.resource
    existing = state.resources_by_kind[requested.kind].get(requested.name)
    refusal = check_put(body, existing, state)
    if refusal is not None:
        return create_refusal_effect(state, refusal)
    if existing is not None and _is_same(requested, existing):
        return _accepted(state, existing, [])
    stored = store_resource(state, requested)
    changes = [stored]
    if requested.kind in OWNER_KINDS:
        changes.extend(reconcile_tasks(state, stored.resource, existing))
    return _accepted(state, stored.resource, changes)


def delete_resource(body: DeleteResource, state: State) -> Effect:
    """Remove a resource and stop its tasks.

    Running tasks are removed once they have stopped.
    """
    if body.kind not in SPEC_FIELDS_BY_KIND:
        return create_refusal_effect(state, create_kind_refusal())
    existing = state.resources_by_kind[Kind(body.kind)].get(body.name)
    if existing is None:
        text = f'there is no {Kind(body.kind).name} {body.name!r}'
        return create_refusal_effect(
            state, create_refusal(OutcomeCode.not_found, text)
        )
    refusal = check_delete(body, existing, state)
    if refusal is not None:
        return create_refusal_effect(state, refusal)
    changes = [remove_resource(state, existing)]
    changes.extend(stop_or_remove_tasks(state, existing))
    return _accepted(state, existing, changes)


def _accepted(
    state: State,
    resource: Resource,
    changes: list[Change],
) -> Effect:
    outcome = Outcome(revision=state.revision, resource=resource)
    return Effect(outcome=outcome, changes=tuple(changes))


def _is_same(requested: Resource, existing: Resource) -> bool:
    return existing == attrs.evolve(
        requested,
        revision=existing.revision,
        created=existing.created,
    )

"""State of the replicated state machine."""

from collections import deque
from itertools import islice
from typing import final

import attrs

from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import (
    Change,
    ClaimRecord,
    Outcome,
    RememberedOutcome,
    Resource,
)

HISTORY_LENGTH = 4096


@final
@attrs.define
class State:
    """Replicated state of the control group.

    Stored resources and records are never modified in place.
    """

    # Each change of a resource increments the revision by one, so ``history``
    # has no gaps.
    revision: int = 0
    # Changes of claims have their own counter, as watches do not see them.
    claims_revision: int = 0
    resources_by_kind: dict[Kind, dict[str, Resource]] = attrs.field(
        factory=lambda: {kind: {} for kind in Kind},
    )
    claims_by_key: dict[str, ClaimRecord] = attrs.field(factory=dict)
    # Total size of the bodies of recorded answers.
    claim_body_bytes: int = 0
    outcomes_by_request_id: dict[str, RememberedOutcome] = attrs.field(
        factory=dict,
    )
    # The newest changes, for watches that resume.
    history: deque[Change] = attrs.field(
        factory=lambda: deque(maxlen=HISTORY_LENGTH),
    )
    batch: BatchState = attrs.field(factory=BatchState)


@final
@attrs.frozen
class Effect:
    """Outcome of a command, and the changes that are sent to watches."""

    outcome: Outcome
    changes: tuple[Change, ...] = ()


def create_state() -> State:
    """Create an empty state at revision 0."""
    return State()


def store_resource(state: State, resource: Resource) -> Change:
    """Store ``resource`` at the next revision and return the change."""
    resources_by_name = state.resources_by_kind[resource.kind]
    existing = resources_by_name.get(resource.name)
    state.revision += 1
    stored = attrs.evolve(
        resource,
        revision=state.revision,
        created=existing.created if existing else state.revision,
    )
    resources_by_name[stored.name] = stored
    return _append_change(
        state, Change(revision=state.revision, resource=stored)
    )


def remove_resource(state: State, resource: Resource) -> Change:
    """Remove ``resource`` at the next revision and return the change."""
    removed = state.resources_by_kind[resource.kind].pop(resource.name)
    state.revision += 1
    change = Change(revision=state.revision, removed=True, resource=removed)
    return _append_change(state, change)


def changes_since(state: State, since: int) -> list[Change] | None:
    """Return the changes after revision ``since``, oldest first.

    Return ``None`` if some of them are no longer in the history.
    """
    missed = state.revision - since
    if missed <= 0:
        return []
    if missed > len(state.history):
        return None
    return list(islice(state.history, len(state.history) - missed, None))


def _append_change(state: State, change: Change) -> Change:
    state.history.append(change)
    return change

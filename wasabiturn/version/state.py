"""State of the replicated state machine."""

from collections import deque
from itertools import islice
from typing import final

import attrs

from wasabiturn.batch.state import BatchState
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
    """All that the control group agrees on.

    Each change of a resource takes one revision, so ``history``, which holds
    the newest changes for watches that resume, has no gaps. Claims are counted
    by ``claims_revision``: no watch sees them; ``claim_bytes`` is the size of
    their recorded bodies. Stored resources and records
    are never altered in place.
    """

    revision: int = 0
    claims_revision: int = 0
    resources_by_kind: dict[Kind, dict[str, Resource]] = attrs.field(
        factory=lambda: {kind: {} for kind in Kind},
    )
    claims_by_key: dict[str, ClaimRecord] = attrs.field(factory=dict)
    claim_bytes: int = 0
    outcomes_by_request_id: dict[str, RememberedOutcome] = attrs.field(
        factory=dict,
    )
    history: deque[Change] = attrs.field(
        factory=lambda: deque(maxlen=HISTORY_LENGTH),
    )
    batch: BatchState = attrs.field(factory=BatchState)


@final
@attrs.frozen
class Effect:
    """What a command did: its outcome, and the changes that watches see."""

    outcome: Outcome
    changes: tuple[Change, ...] = ()


def create_state() -> State:
    """Create the empty state at revision 0."""
    return State()


def store(state: State, resource: Resource) -> Change:
    """Keep ``resource`` under the next revision and return the change."""
    resources_by_name = state.resources_by_kind[resource.kind]
    present = resources_by_name.get(resource.name)
    state.revision += 1
    stored = attrs.evolve(
        resource,
        revision=state.revision,
        created=present.created if present else state.revision,
    )
    resources_by_name[stored.name] = stored
    return _remember(state, Change(revision=state.revision, resource=stored))


def discard(state: State, resource: Resource) -> Change:
    """Remove ``resource`` under the next revision and return the change."""
    removed = state.resources_by_kind[resource.kind].pop(resource.name)
    state.revision += 1
    change = Change(revision=state.revision, removed=True, resource=removed)
    return _remember(state, change)


def changes_since(state: State, since: int) -> list[Change] | None:
    """Return the changes after revision ``since``, oldest first.

    ``None`` means that some of them are no longer kept.
    """
    missed = state.revision - since
    if missed <= 0:
        return []
    if missed > len(state.history):
        return None
    return list(islice(state.history, len(state.history) - missed, None))


def _remember(state: State, change: Change) -> Change:
    state.history.append(change)
    return change

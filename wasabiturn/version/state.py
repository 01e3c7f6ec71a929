"""State of the replicated state machine."""

from collections import deque
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import Change, ClaimRecord, Outcome, Resource


@final
@attrs.define
class State:
    """All that the control group agrees on.

    ``claims_by_key`` is keyed by ``service_name/key``; ``history`` holds the
    newest changes for watches that resume.
    """

    revision: int = 0
    resources_by_kind: dict[Kind, dict[str, Resource]] = attrs.field(
        factory=lambda: {kind: {} for kind in Kind},
    )
    claims_by_key: dict[str, ClaimRecord] = attrs.field(factory=dict)
    outcomes_by_request_id: dict[str, Outcome] = attrs.field(factory=dict)
    history: deque[Change] = attrs.field(factory=deque)


def create_state() -> State:
    """Create the empty state at revision 0."""
    return State()

"""Events of admission, and the decisions that follow from them."""

from typing import final

import attrs

from wasabiturn.ids import Ticket


@final
@attrs.frozen
class Arrived:
    """A request asks for a slot."""

    ticket: Ticket
    caller: str
    deadline: float


@final
@attrs.frozen
class Finished:
    """A running request gave its slot back."""

    ticket: Ticket


@final
@attrs.frozen
class Withdrawn:
    """A waiting request is not wanted any more."""

    ticket: Ticket


@final
@attrs.frozen
class LimitsChanged:
    """The backend server announced other limits."""

    slots: int
    connections: int


@final
@attrs.frozen
class DeadlinesChecked:
    """Time has passed; what cannot start in time any more is refused."""


@final
@attrs.frozen
class Refused:
    """A request that will not run."""

    ticket: Ticket
    retry_after_seconds: float
    reason: str


@final
@attrs.define
class Decisions:
    """What follows from one event."""

    started: list[Ticket] = attrs.field(factory=list)
    refused: list[Refused] = attrs.field(factory=list)

"""Events that admission control handles, and the resulting decisions."""

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
    """A running request ended and released its slot."""

    ticket: Ticket


@final
@attrs.frozen
class Withdrawn:
    """A waiting request was cancelled."""

    ticket: Ticket


@final
@attrs.frozen
class LimitsChanged:
    """The backend server announced new limits."""

    slots: int
    connections: int


@final
@attrs.frozen
class DeadlinesChecked:
    """Periodic check: refuse requests that can no longer start in time."""


@final
@attrs.frozen
class Refused:
    """Decision that a request will not run."""

    ticket: Ticket
    retry_after_seconds: float
    reason: str


@final
@attrs.define
class Decisions:
    """Requests to start and to refuse after an event."""

    started: list[Ticket] = attrs.field(factory=list)
    refused: list[Refused] = attrs.field(factory=list)

"""Typed values of requests to the platform's worker interface and answers."""

from typing import final

import attrs

from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.kinds import AttemptState, Kind
from wasabiturn.messages.state import Capacity


class RefusedByPlatformError(PlatformError):
    """The platform refused a request and did not carry it out."""


@final
class WorkerDownError(RefusedByPlatformError):
    """Nothing listens at the worker, so no byte of the request was sent."""


@final
@attrs.frozen
class Run:
    """Run of a task in the listing of a worker, in progress or ended."""

    task: str
    attempt: int
    state: AttemptState
    size: Capacity
    kind: str = ''
    checkpoint: str = ''
    reason: str = ''
    run_seconds: float = 0.0


@final
@attrs.frozen
class Usage:
    """Resource usage of one run, sampled ``lag_seconds`` ago.

    ``progress`` is the share of full speed; 1.0 is full speed.
    """

    task: str
    attempt: int
    used: Capacity
    lag_seconds: float
    progress: float


@final
@attrs.frozen
class Listing:
    """Capacity, runs and usage of a worker; ``now`` is read from its clock.

    The worker changes its ``incarnation`` whenever it loses its runs; it is
    empty if the worker does not give one.
    """

    now: float
    capacity: Capacity
    runs: tuple[Run, ...]
    usage: tuple[Usage, ...]
    incarnation: str = ''


@final
@attrs.frozen
class RunRequest:
    """Run to start; times are in seconds of the reactor of this process.

    Another ``incarnation`` of the worker than the one named refuses it; an
    empty one names none.
    """

    task: str
    attempt: int
    size: Capacity
    task_kind: str
    owner_kind: Kind
    command: str
    checkpoint: str
    run_seconds: float
    throttle: float
    start_until: float
    lease_until: float
    incarnation: str = ''


@final
@attrs.frozen
class RunName:
    """Identifier of a run: a task and the number of its attempt."""

    task: str
    attempt: int

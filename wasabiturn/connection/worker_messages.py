"""What the platform's worker interface says and is asked, as typed values."""

from typing import final

import attrs

from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.kinds import AttemptState, Kind
from wasabiturn.messages.state import Capacity


class RefusedByPlatformError(PlatformError):
    """The platform answered that it did not do what was asked."""


@final
@attrs.frozen
class Run:
    """One run of a task that the worker knows, present or ended."""

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
    """Late usage of one run; progress 1.0 is full speed."""

    task: str
    attempt: int
    used: Capacity
    lag_seconds: float
    progress: float


@final
@attrs.frozen
class Listing:
    """Capacity, runs and usage of the worker; ``now`` is its own clock."""

    now: float
    capacity: Capacity
    runs: tuple[Run, ...]
    usage: tuple[Usage, ...]


@final
@attrs.frozen
class RunRequest:
    """Run to start; times are in seconds of this process's loop."""

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


@final
@attrs.frozen
class RunName:
    """One attempt of a task on the worker."""

    task: str
    attempt: int

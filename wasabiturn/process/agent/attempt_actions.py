"""Actions that the agent requests from its worker."""

from typing import final

import attrs

from wasabiturn.connection.worker_messages import RunName, RunRequest


@final
@attrs.frozen
class StartRun:
    """Start an attempt."""

    request: RunRequest


@final
@attrs.frozen
class RenewLeases:
    """Extend the leases of attempts to ``until``, in reactor seconds."""

    names: tuple[RunName, ...]
    until: float


@final
@attrs.frozen
class ThrottleRun:
    """Limit the speed of an attempt; ``share`` is 1.0 at full speed."""

    name: RunName
    share: float


@final
@attrs.frozen
class StopRun:
    """Stop an attempt."""

    name: RunName


@final
@attrs.frozen
class EvictRun:
    """Checkpoint an attempt, then stop it.

    If ``may_lose_progress`` is set, the attempt is stopped even if the
    checkpoint fails.
    """

    name: RunName
    may_lose_progress: bool


@final
@attrs.frozen
class CheckpointRun:
    """Save the progress of an attempt without stopping it."""

    name: RunName


@final
@attrs.frozen
class ForgetRun:
    """Remove an ended attempt from the worker's listing."""

    name: RunName


Action = (
    StartRun
    | RenewLeases
    | ThrottleRun
    | StopRun
    | EvictRun
    | CheckpointRun
    | ForgetRun
)

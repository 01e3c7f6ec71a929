"""What the agent asks of its worker, as decided from orders and listings."""

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
    """Prolong the leases of attempts to ``until``, in loop seconds."""

    names: tuple[RunName, ...]
    until: float


@final
@attrs.frozen
class ThrottleRun:
    """Limit an attempt to ``share`` of full speed."""

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

    ``may_lose_progress`` tells whether it is stopped without a checkpoint
    when none can be made.
    """

    name: RunName
    may_lose_progress: bool


@final
@attrs.frozen
class CheckpointRun:
    """Save the progress of an attempt that goes on."""

    name: RunName


@final
@attrs.frozen
class ForgetRun:
    """Drop an ended attempt from the worker's listing."""

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

"""Refusals: final answers that come from Wasabiturn, not from a backend."""

import enum
from typing import final

import attrs

MIN_RETRY_AFTER_SECONDS = 1


@final
class RefusalOutcome(enum.Enum):
    """Value of ``Wasabiturn-Outcome``: whether the request may have run."""

    not_run = 'not-run'
    unknown = 'unknown'


@final
@attrs.frozen
class Refusal:
    """Final answer to a request that was refused.

    ``RefusalOutcome.not_run`` is used only if the request certainly did not
    run. ``retry_after_seconds`` is ``None`` if a retry would fail as well.
    """

    status: int
    outcome: RefusalOutcome
    reason: str
    retry_after_seconds: float | None = None


def refuse_not_run(
    status: int,
    reason: str,
    retry_after_seconds: float | None = None,
) -> Refusal:
    """Create the refusal of a request that certainly did not run."""
    return Refusal(
        status=status,
        outcome=RefusalOutcome.not_run,
        reason=reason,
        retry_after_seconds=retry_after_seconds,
    )


def refuse_unknown(status: int, reason: str) -> Refusal:
    """Create the refusal of a request that may have run."""
    return Refusal(
        status=status,
        outcome=RefusalOutcome.unknown,
        reason=reason,
    )

"""Refusals: final answers to requests that get none from a backend server."""

import enum
from typing import final

import attrs

MIN_RETRY_AFTER_SECONDS = 1


@final
class RefusalOutcome(enum.Enum):
    """What is certain of a refused request, as callers read it."""

    not_run = 'not-run'
    unknown = 'unknown'


@final
@attrs.frozen
class Refusal:
    """Final answer; ``retry_after_seconds`` is ``None`` where a retry fails.

    ``RefusalOutcome.not_run`` is used only when it is certain.
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

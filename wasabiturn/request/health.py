"""Ejection of agents that fail, and slow start of those newly announced."""

from typing import final

import attrs

FAILURES_BEFORE_EJECTION = 3
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
SLOW_START_SECONDS = 5.0
MIN_SLOW_START_SHARE = 0.1


@final
@attrs.define
class AgentHealth:
    """Failures of one agent in a row; times are loop seconds."""

    first_seen: float
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0


def record_success(health: AgentHealth) -> None:
    """Count an answer; the next ejection is a short one again."""
    health.failures = 0
    health.ejections = 0


def record_failure(health: AgentHealth, now: float) -> None:
    """Count a request that got no answer; eject after several in a row.

    Each ejection without an answer in between lasts twice as long.
    """
    health.failures += 1
    if health.failures < FAILURES_BEFORE_EJECTION:
        return
    seconds = FIRST_EJECTION_SECONDS * 2**health.ejections
    health.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
    health.ejections = min(health.ejections + 1, 5)
    health.failures = 0


def is_ejected(health: AgentHealth, now: float) -> bool:
    """Tell whether the agent gets no new requests at ``now``."""
    return now < health.ejected_until


def slow_start_share(health: AgentHealth, now: float) -> float:
    """Return the share of its slots that a new agent is given at ``now``."""
    age = now - health.first_seen
    return min(max(age / SLOW_START_SECONDS, MIN_SLOW_START_SHARE), 1)

"""Ejection of failing agents and slow start of new ones."""

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
    """Consecutive failures and ejections of one agent.

    Times are in seconds of reactor time.
    """

    first_seen: float
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0


def record_success(health: AgentHealth) -> None:
    """Record an answer, which resets the length of the next ejection."""
    health.failures = 0
    health.ejections = 0


def record_failure(health: AgentHealth, now: float) -> None:
    """Record a request without an answer; eject after several in a row.

    Each further ejection without an answer in between lasts twice as long,
    up to ``MAX_EJECTION_SECONDS``.
    """
    health.failures += 1
    if health.failures < FAILURES_BEFORE_EJECTION:
        return
    seconds = FIRST_EJECTION_SECONDS * 2**health.ejections
    health.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
    health.ejections = min(health.ejections + 1, 5)
    health.failures = 0


def is_ejected(health: AgentHealth, now: float) -> bool:
    """Return whether the agent is excluded from new requests at ``now``."""
    return now < health.ejected_until


def slow_start_share(health: AgentHealth, now: float) -> float:
    """Return the share of its slots that an agent may use at ``now``."""
    age = now - health.first_seen
    return min(max(age / SLOW_START_SECONDS, MIN_SLOW_START_SHARE), 1)

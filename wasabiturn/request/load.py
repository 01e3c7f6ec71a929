"""What an entry believes of the load of one agent's backend server."""

from typing import final

import attrs

from wasabiturn.messages.session import LoadReport

REPORT_HALF_LIFE_SECONDS = 0.25
DEFAULT_SERVICE_SECONDS = 0.01

_MS_PER_SECOND = 1000


@final
@attrs.define
class AgentLoad:
    """Newest report of one agent, and the requests sent by this entry.

    Times are loop seconds; ``sent_since_report`` counts requests that the
    report cannot hold yet.
    """

    slots: int
    in_flight: int = 0
    sent_since_report: int = 0
    reported_in_use: int = 0
    reported_at: float = 0
    service_seconds: float = DEFAULT_SERVICE_SECONDS


def record_sent(load: AgentLoad) -> None:
    """Count a request that was sent to the agent."""
    load.in_flight += 1
    load.sent_since_report += 1


def record_done(load: AgentLoad) -> None:
    """Count a request that the agent no longer holds."""
    load.in_flight -= 1


def record_report(load: AgentLoad, report: LoadReport, now: float) -> None:
    """Take the report that came with an answer at ``now``."""
    load.reported_in_use = report.running + report.waiting
    load.reported_at = now
    load.sent_since_report = 0
    if report.slots > 0:
        load.slots = report.slots
    if report.mean_service_ms > 0:
        load.service_seconds = report.mean_service_ms / _MS_PER_SECOND


def estimate_in_use(load: AgentLoad, now: float) -> float:
    """Return the requests that the agent holds, as believed at ``now``.

    The weight of a report halves with each half-life; what this entry has in
    flight itself is certain and is the floor.
    """
    age = max(now - load.reported_at, 0)
    weight = 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)
    reported = load.reported_in_use * weight + load.sent_since_report
    return max(reported, load.in_flight)


def estimate_wait(load: AgentLoad, now: float) -> float:
    """Return the seconds that a new request would wait for a slot."""
    ahead = estimate_in_use(load, now) + 1 - load.slots
    return max(ahead, 0) * load.service_seconds / max(load.slots, 1)

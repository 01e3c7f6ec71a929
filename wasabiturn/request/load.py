"""What an entry believes of the load of one agent's backend server."""

from typing import final

import attrs

from wasabiturn.messages.session import LoadReport

REPORT_HALF_LIFE_SECONDS = 0.25
DEFAULT_SERVICE_SECONDS = 0.01
# An answer is overdue after this many service times without any.
OVERDUE_RATIO = 4

_MS_PER_SECOND = 1000


@final
@attrs.define
class AgentLoad:
    """Requests of this entry at one agent, and those that it reported.

    ``others`` counts the requests of other entries in the newest report,
    taken at ``reported_at`` in loop seconds. ``quiet_since`` is when the agent
    last answered, or began to owe an answer.
    """

    slots: int
    in_flight: int = 0
    others: int = 0
    reported_at: float = 0
    quiet_since: float = 0
    service_seconds: float = DEFAULT_SERVICE_SECONDS


def record_sent(load: AgentLoad, now: float) -> None:
    """Count a request that was sent to the agent at ``now``."""
    if load.in_flight == 0:
        load.quiet_since = now
    load.in_flight += 1


def record_done(load: AgentLoad) -> None:
    """Count a request that the agent no longer holds."""
    load.in_flight -= 1


def record_report(load: AgentLoad, report: LoadReport, now: float) -> None:
    """Take the report that came with an answer at ``now``.

    The answered request is still in flight here, but not at the agent.
    """
    own = load.in_flight - 1
    load.others = max(report.running + report.waiting - own, 0)
    load.reported_at = now
    load.quiet_since = now
    if report.slots > 0:
        load.slots = report.slots
    if report.mean_service_ms > 0:
        load.service_seconds = report.mean_service_ms / _MS_PER_SECOND


def estimate_in_use(load: AgentLoad, now: float) -> float:
    """Return the requests that the agent holds, as believed at ``now``.

    The weight of what others were reported to have there halves with each
    half-life; what this entry has in flight itself is certain.
    """
    age = max(now - load.reported_at, 0)
    weight = 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)
    return load.in_flight + load.others * weight


def estimate_wait(load: AgentLoad, in_use: float, share: float) -> float:
    """Return the seconds that a new request would wait for a slot.

    ``in_use`` is the estimate of the requests that the agent holds;
    ``share`` is the share of its slots that may be used.
    """
    slots = max(load.slots * share, 1)
    ahead = in_use + 1 - slots
    return max(ahead, 0) * load.service_seconds / slots


def estimate_overdue(load: AgentLoad, now: float) -> float:
    """Return the seconds by which the agent owes an answer at ``now``."""
    if load.in_flight <= 0:
        return 0
    quiet_seconds = now - load.quiet_since
    return max(quiet_seconds - OVERDUE_RATIO * load.service_seconds, 0)

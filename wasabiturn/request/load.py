"""An entry's estimate of the load of one agent's backend server."""

from typing import final

import attrs

from wasabiturn.messages.session import LoadReport

REPORT_HALF_LIFE_SECONDS = 0.25
DEFAULT_SERVICE_SECONDS = 0.01
# An answer is overdue if none arrives for this many mean service times.
OVERDUE_RATIO = 4

_MS_PER_SECOND = 1000


@final
@attrs.define
class AgentLoad:
    """Load of one agent; times are in seconds of reactor time."""

    slots: int
    # Requests of this entry at the agent.
    in_flight: int = 0
    # Requests of other entries in the newest report, received at
    # ``reported_at``.
    others_in_flight: int = 0
    reported_at: float = 0
    # When the agent last answered, or when this entry began to wait for an
    # answer, whichever is later.
    waiting_since: float = 0
    service_seconds: float = DEFAULT_SERVICE_SECONDS


def record_sent(load: AgentLoad, now: float) -> None:
    """Count a request that was sent to the agent at ``now``."""
    if load.in_flight == 0:
        load.waiting_since = now
    load.in_flight += 1


def record_done(load: AgentLoad) -> None:
    """Count a request that is no longer at the agent."""
    load.in_flight -= 1


def record_report(load: AgentLoad, report: LoadReport, now: float) -> None:
    """Record the load report that came with an answer at ``now``.

    The answered request still counts as in flight here, but no longer at the
    agent.
    """
    own = load.in_flight - 1
    load.others_in_flight = max(report.running + report.waiting - own, 0)
    load.reported_at = now
    load.waiting_since = now
    if report.slots > 0:
        load.slots = report.slots
    if report.mean_service_ms > 0:
        load.service_seconds = report.mean_service_ms / _MS_PER_SECOND


def estimate_in_use(load: AgentLoad, now: float) -> float:
    """Return the estimated number of requests at the agent at ``now``.

    This entry's own requests are known exactly. The reported requests of
    other entries lose half their weight every
    ``REPORT_HALF_LIFE_SECONDS``.
    """
    age = max(now - load.reported_at, 0)
    weight = 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)
    return load.in_flight + load.others_in_flight * weight


def estimate_wait(load: AgentLoad, in_use: float, usable_share: float) -> float:
    """Return the seconds that a new request would wait for a slot.

    ``in_use`` is the estimated number of requests at the agent;
    ``usable_share`` is the share of its slots that may be used.
    """
    slots = max(load.slots * usable_share, 1)
    ahead = in_use + 1 - slots
    return max(ahead, 0) * load.service_seconds / slots


def estimate_overdue(load: AgentLoad, now: float) -> float:
    """Return by how many seconds an answer is overdue at ``now``."""
    if load.in_flight <= 0:
        return 0
    waited_seconds = now - load.waiting_since
    return max(waited_seconds - OVERDUE_RATIO * load.service_seconds, 0)

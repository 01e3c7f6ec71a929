"""Periods of heartbeats, permits and leases, in seconds.

The holder of a lease counts it from when it sent the heartbeat that renewed
the lease. The leader counts it from when it answered that heartbeat, and adds
a margin for clock drift.
"""

HEARTBEAT_INTERVAL_SECONDS = 0.5
PERMIT_SECONDS = 1.0
AGENT_LEASE_SECONDS = 2.0
TASK_LEASE_SECONDS = 10.0
# Each clock runs at most 5 % fast or slow: (1.05 / 0.95) - 1 < 0.11.
DRIFT_SHARE = 0.11


def latest_expiry(granted_at: float, lease_seconds: float) -> float:
    """Return when a lease granted at ``granted_at`` has certainly ended."""
    return granted_at + lease_seconds * (1 + DRIFT_SHARE)

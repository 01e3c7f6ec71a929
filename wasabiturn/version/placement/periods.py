"""Periods of heartbeats, permits and leases, in seconds.

A lease is counted by its holder from when it sent the heartbeat that renewed
it, and by the leader from when it answered, plus a margin for clock drift.
"""

HEARTBEAT_SECONDS = 0.5
PERMIT_SECONDS = 1.0
AGENT_LEASE_SECONDS = 2.0
TASK_LEASE_SECONDS = 10.0
# Each clock runs at most 5 % fast or slow: (1.05 / 0.95) - 1 < 0.11.
DRIFT_SHARE = 0.11


def latest_expiry(granted_at: float, lease_seconds: float) -> float:
    """Return when a lease answered at ``granted_at`` has surely ended."""
    return granted_at + lease_seconds * (1 + DRIFT_SHARE)

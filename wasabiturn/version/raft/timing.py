"""Timing of consensus, in seconds of each member's own clock.

``docs/design/consensus.md`` derives the lease from the election timeout.
"""

HEARTBEAT_INTERVAL_SECONDS = 0.1
ELECTION_TIMEOUT_SECONDS = 1.0
ELECTION_JITTER_SECONDS = 0.5
CHECK_QUORUM_SECONDS = ELECTION_TIMEOUT_SECONDS + ELECTION_JITTER_SECONDS
# Largest relative error of the rate of a clock.
MAX_CLOCK_DRIFT = 0.05
LEASE_SECONDS = (
    ELECTION_TIMEOUT_SECONDS * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)
)
FRESHNESS_PERIOD_SECONDS = 3.0
# The freshness period as the slowest clock counts it.
FRESHNESS_SECONDS = FRESHNESS_PERIOD_SECONDS * (1 - MAX_CLOCK_DRIFT)
INTRODUCTION_INTERVAL_SECONDS = 0.25
SNAPSHOT_RETRY_SECONDS = 1.0
NEVER = float('-inf')

"""Limits of time that agents and the leader agree on."""

# An order that has no answer after this time is not carried out any more.
ORDER_LIFETIME_SECONDS = 15.0
# An agent sends starts only if the leader answered a report sent this recently.
START_PERMIT_SECONDS = 2.0
# No longer than this a run goes on that a late order has begun unseen: the
# longest lease, and some time to notice its end.
LATE_RUN_SECONDS = 15.0
# The fencing tokens of a leader are this far apart; those in between are the
# agent's.
FENCE_STEP = 1 << 10

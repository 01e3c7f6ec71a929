"""Limits of time that agents and the leader agree on."""

# An order that has no answer after this time is not carried out any more.
ORDER_LIFETIME_SECONDS = 15.0

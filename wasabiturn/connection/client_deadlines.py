"""Decides when a client has been too slow.

Made for clients that send or read a few bytes now and then, and so keep what
they have begun for ever.
"""

# Within this time after its begin, a message may have any rate.
RATE_GRACE_SECONDS = 10.0
# A legitimate caller on a slow link sends 8 times as much (64 kbit/s).
MIN_BODY_BYTES_PER_SECOND = 1_000
# Links are between processes of one operator.
MIN_FRAME_BYTES_PER_SECOND = 10_000
# Time that the other side of a link has to send its hello.
HELLO_TIMEOUT_SECONDS = 5.0
# Time for a client to read a response, beside the time for its bytes.
READ_TIMEOUT_SECONDS = 30.0
MIN_READ_BYTES_PER_SECOND = 10_000


def is_below_rate(
    received_bytes: int, age_seconds: float, bytes_per_second: int
) -> bool:
    """Return whether a message comes more slowly than it may."""
    if age_seconds <= RATE_GRACE_SECONDS:
        return False
    return received_bytes < age_seconds * bytes_per_second


def is_read_overdue(unread_bytes: int, age_seconds: float) -> bool:
    """Return whether a client should have read what was sent to it."""
    return (
        age_seconds
        > READ_TIMEOUT_SECONDS + unread_bytes / MIN_READ_BYTES_PER_SECOND
    )

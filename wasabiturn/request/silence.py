"""When an open connection to a backend server is taken for silent.

A slow answer and a lost one look the same from outside. A connection is
taken for silent when requests that were sent after its own have been
answered, and it has been quiet for far longer than answers take. Only the
first attempt of an idempotent request is judged so: its repetition, which
may be slow by nature, is left to its deadline.
"""

from typing import final

import attrs

MIN_SILENCE_SECONDS = 1.5
SILENCE_RATIO = 4.0


@final
@attrs.frozen
class Quiet:
    """A request whose connection has been quiet; times in loop seconds."""

    idempotent: bool
    attempt: int
    sent_at: float
    last_activity: float


def is_silent(
    quiet: Quiet,
    newest_answered: float,
    p99_seconds: float,
    now: float,
) -> bool:
    """Return whether the connection shall be given up.

    ``newest_answered`` is when the newest request that has been answered
    was sent.
    """
    if not quiet.idempotent or quiet.attempt > 1:
        return False
    limit = max(MIN_SILENCE_SECONDS, SILENCE_RATIO * p99_seconds)
    has_witness = newest_answered > quiet.sent_at
    return has_witness and now - quiet.last_activity > limit

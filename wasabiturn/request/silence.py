"""Detection of silent connections to a backend server.

A slow answer cannot be told from a lost one. A connection is considered
silent if a request sent later has been answered, and if nothing has arrived
for much longer than answers usually take. Only the first attempt of an
idempotent request is checked. A later attempt is left to its deadline,
because the request itself may be slow.
"""

from typing import final

import attrs

MIN_SILENCE_SECONDS = 1.5
SILENCE_RATIO = 4.0


@final
@attrs.frozen
class AwaitedAnswer:
    """A request that awaits its answer.

    Times are in seconds of reactor time.
    """

    idempotent: bool
    attempt: int
    sent_at: float
    last_activity: float


def is_silent(
    awaited: AwaitedAnswer,
    newest_answered: float,
    p99_seconds: float,
    now: float,
) -> bool:
    """Return whether the connection is considered silent.

    ``newest_answered`` is the time at which the most recently sent request
    that has been answered was sent.
    """
    if not awaited.idempotent or awaited.attempt > 1:
        return False
    limit_seconds = max(MIN_SILENCE_SECONDS, SILENCE_RATIO * p99_seconds)
    later_was_answered = newest_answered > awaited.sent_at
    return later_was_answered and now - awaited.last_activity > limit_seconds

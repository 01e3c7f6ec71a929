"""Log lines of rejected clients, at a bounded rate."""

from typing import Any, final

import attrs

from wasabiturn.connection.client_claims import Rank
from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.utils.logs import create_component_log

# Time between two lines with one cause and rank.
LINE_SECONDS = 5.0

_log = create_component_log('clients')


@final
@attrs.define
class _Tally:
    logged_at: float
    unlogged: int = 0


@final
class RejectionLog:
    """Logs the first rejection, and the number of those since the last line."""

    def __init__(self, clock: Any) -> None:
        """Create the log; ``clock`` is the reactor."""
        self._clock = clock
        self._tallies: dict[tuple[RejectionCause, Rank], _Tally] = {}

    def record(
        self,
        cause: RejectionCause,
        rank: Rank,
        connections: int,
        used_bytes: int,
    ) -> None:
        """Count a rejection, and log it if no line is too near."""
        now = self._clock.seconds()
        tally = self._tallies.setdefault(
            (cause, rank), _Tally(now - LINE_SECONDS)
        )
        tally.unlogged += 1
        if now < tally.logged_at + LINE_SECONDS:
            return
        _log.event(
            'rejected clients',
            cause=cause.value,
            rank=rank.name,
            count=tally.unlogged,
            connections=connections,
            used_bytes=used_bytes,
        )
        self._tallies[cause, rank] = _Tally(now)

"""Log lines of rejected clients, at a bounded rate."""

from typing import Any, final

from wasabiturn.connection.client_claims import Rank
from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.tally_log import TallyLog

_log = create_component_log('clients')


@final
class RejectionLog:
    """Logs rejections, one line at a time for each cause and rank."""

    def __init__(self, clock: Any) -> None:
        """Create the log; ``clock`` is the reactor."""
        self._tally_log = TallyLog(_log, 'rejected clients', clock)

    def record(
        self,
        cause: RejectionCause,
        rank: Rank,
        connections: int,
        used_bytes: int,
    ) -> None:
        """Count a rejection, and log it if no line is too near."""
        self._tally_log.record(
            (cause, rank),
            cause=cause.value,
            rank=rank.name,
            connections=connections,
            used_bytes=used_bytes,
        )

"""Log lines about what may happen at any rate, at a bounded rate."""

from collections.abc import Hashable
from typing import Any, final

import attrs

from wasabiturn.utils.logs import ComponentLog

# Time between two lines with one key.
LINE_SECONDS = 5.0
# With more keys, those without a recent line are forgotten.
MAX_KEYS = 100


@final
@attrs.define
class _Tally:
    logged_at: float
    unlogged: int = 0


@final
class TallyLog:
    """Logs the first occurrence, then how many came since the last line."""

    def __init__(self, log: ComponentLog, sentence: str, clock: Any) -> None:
        """Create the log of ``sentence``; ``clock`` is the reactor."""
        self._log = log
        self._sentence = sentence
        self._clock = clock
        self._tallies_by_key: dict[Hashable, _Tally] = {}

    def record(self, key: Hashable, **fields: Any) -> None:
        """Count an occurrence, and log it if no line with its key is near."""
        now = self._clock.seconds()
        tally = self._tallies_by_key.setdefault(key, _Tally(now - LINE_SECONDS))
        tally.unlogged += 1
        if now < tally.logged_at + LINE_SECONDS:
            return
        self._log.event(self._sentence, count=tally.unlogged, **fields)
        self._tallies_by_key[key] = _Tally(now)
        if len(self._tallies_by_key) > MAX_KEYS:
            self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        self._tallies_by_key = {
            key: tally
            for key, tally in self._tallies_by_key.items()
            if now < tally.logged_at + LINE_SECONDS
        }

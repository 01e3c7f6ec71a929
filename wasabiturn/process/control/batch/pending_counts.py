"""How many jobs of each queue wait, counted once for many callers."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import final

import attrs

# A count may be this old. A pass over all open jobs takes milliseconds, and
# callers may ask any number of times.
MAX_AGE_MS = 200


@final
@attrs.define
class PendingCounts:
    """Counts of all queues, renewed when they are asked for and too old."""

    _counts_by_queue: Counter[str] = attrs.field(factory=Counter)
    _counted_ms: int | None = None

    def find(
        self, queue: str, now_ms: int, list_queues: Callable[[], Iterable[str]]
    ) -> int:
        """Return the number of jobs in a queue that wait.

        ``list_queues`` yields the queue of each job that waits.
        """
        counted_ms = self._counted_ms
        if counted_ms is None or not 0 <= now_ms - counted_ms < MAX_AGE_MS:
            self._counts_by_queue = Counter(list_queues())
            self._counted_ms = now_ms
        return self._counts_by_queue[queue]

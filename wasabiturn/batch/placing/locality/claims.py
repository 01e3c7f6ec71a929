"""What the tasks that wait for a rack will take there, in order of their gain.

A task expects only those places that tasks with a higher gain leave. Nothing is
reserved: whoever comes when a place is free may take it.
"""

from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate
from typing import final

import attrs

from wasabiturn.batch.placing.locality.state import Rank, Wait


@final
@attrs.define
class _RackClaims:
    """Claims for one rack: sums of CPU and memory in the order of ranks."""

    ranks: list[Rank] = attrs.field(factory=list)
    millicores: list[int] = attrs.field(factory=list)
    memory_mb: list[int] = attrs.field(factory=list)
    # Waits that began in this plan.
    new: list[Wait] = attrs.field(factory=list)


@final
class Claims:
    """Claims of the waits before a plan and of those that begin in it."""

    def __init__(self, waits: Iterable[Wait]) -> None:
        """Collect the claims of ``waits``."""
        waits_by_rack: dict[str, list[Wait]] = {}
        for wait in waits:
            if wait.held and not wait.is_over:
                waits_by_rack.setdefault(wait.rack, []).append(wait)
        self._by_rack = {
            rack: _sum_up(waiting) for rack, waiting in waits_by_rack.items()
        }

    def add(self, wait: Wait) -> None:
        """Add a wait that has begun."""
        self._by_rack.setdefault(wait.rack, _RackClaims()).new.append(wait)

    def ahead_of(self, wait: Wait) -> tuple[int, int]:
        """Return the CPU and memory that tasks with a higher gain take."""
        claims = self._by_rack.get(wait.rack)
        if claims is None:
            return 0, 0
        millicores = 0
        memory_mb = 0
        number = bisect_left(claims.ranks, wait.rank)
        if number:
            millicores = claims.millicores[number - 1]
            memory_mb = claims.memory_mb[number - 1]
        for other in claims.new:
            if other.rank < wait.rank:
                millicores += other.millicores
                memory_mb += other.memory_mb
        return millicores, memory_mb


def _sum_up(waits: list[Wait]) -> _RackClaims:
    waits.sort(key=lambda wait: wait.rank)
    return _RackClaims(
        ranks=[wait.rank for wait in waits],
        millicores=list(accumulate(wait.millicores for wait in waits)),
        memory_mb=list(accumulate(wait.memory_mb for wait in waits)),
    )

"""Observed sizes of each kind of task, against declared ones.

Sizes are kept as ratios to the declared size, since tasks of one kind may be
declared in different sizes.
"""

from typing import final

import attrs

from wasabiturn.messages.state import Capacity

# A ratio that falls is followed slowly, one that grows at once.
SIZE_DECAY = 0.02
MAX_RATIO = 100.0
# Reports within this share of the declared size do not enlarge the charge.
SIZE_TOLERANCE = 0.05


@final
@attrs.define
class SizeRatios:
    """Observed over declared size of one kind of task; at least 1."""

    cores: float = 1.0
    memory: float = 1.0

    def observe(self, declared: Capacity, used: Capacity) -> None:
        """Take one usage report of a task of the ``declared`` size."""
        self.cores = _follow(self.cores, used.cores, declared.cores)
        self.memory = _follow(self.memory, used.memory_mb, declared.memory_mb)

    def apply(self, declared: Capacity) -> Capacity:
        """Return the size to charge for a task of the ``declared`` size."""
        return Capacity(
            cores=declared.cores * self.cores,
            memory_mb=round(declared.memory_mb * self.memory),
            accelerators=declared.accelerators,
        )


@final
@attrs.define
class Observations:
    """Ratios of observed to declared sizes by kind of task."""

    sizes_by_kind: dict[str, SizeRatios] = attrs.field(factory=dict)

    def observe_size(
        self,
        kind: str,
        declared: Capacity,
        used: Capacity,
    ) -> None:
        """Take one usage report."""
        ratios = self.sizes_by_kind.setdefault(kind, SizeRatios())
        ratios.observe(declared, used)

    def charged_size(self, kind: str, declared: Capacity) -> Capacity:
        """Return the larger of the declared and the observed size."""
        ratios = self.sizes_by_kind.get(kind)
        return ratios.apply(declared) if ratios else declared


def _follow(known: float, used: float, declared: float) -> float:
    if declared <= 0:
        return known
    ratio = min(used / declared, MAX_RATIO)
    if ratio > known * (1 + SIZE_TOLERANCE):
        return ratio
    return max(known + SIZE_DECAY * (ratio - known), 1)

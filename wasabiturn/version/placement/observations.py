"""Observed sizes of each kind of task, relative to the declared sizes.

Sizes are kept as ratios to the declared size, since tasks of one kind may be
declared with different sizes.
"""

from typing import final

import attrs

from wasabiturn.messages.state import Capacity

# A report moves a ratio towards the observed one by this share of the
# difference, unless ``SIZE_TOLERANCE`` applies.
SIZE_DECAY = 0.02
MAX_RATIO = 100.0
# A ratio is raised at once if the observed one exceeds it by more than this
# share.
SIZE_TOLERANCE = 0.05


@final
@attrs.define
class SizeRatios:
    """Ratios of observed to declared size of one kind of task, at least 1."""

    cores: float = 1.0
    memory: float = 1.0

    def observe(self, declared: Capacity, used: Capacity) -> None:
        """Update the ratios from one usage report of a task."""
        self.cores = _update_ratio(self.cores, used.cores, declared.cores)
        self.memory = _update_ratio(
            self.memory,
            used.memory_mb,
            declared.memory_mb,
        )

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
        """Update the ratios of ``kind`` from one usage report."""
        ratios = self.sizes_by_kind.setdefault(kind, SizeRatios())
        ratios.observe(declared, used)

    def charged_size(self, kind: str, declared: Capacity) -> Capacity:
        """Return the larger of the declared and the observed size."""
        ratios = self.sizes_by_kind.get(kind)
        return ratios.apply(declared) if ratios else declared


def _update_ratio(ratio: float, used: float, declared: float) -> float:
    if declared <= 0:
        return ratio
    observed = min(used / declared, MAX_RATIO)
    if observed > ratio * (1 + SIZE_TOLERANCE):
        return observed
    return max(ratio + SIZE_DECAY * (observed - ratio), 1)

"""Observed sizes and run times of each kind of task, against declared ones."""

from typing import final

import attrs

from wasabiturn.messages.state import Capacity
from wasabiturn.version.placement.capacity import enlarge

RUN_TIME_SHARE = 0.2
MIN_RATIO = 0.01
MAX_RATIO = 100.0


@final
@attrs.define
class Observations:
    """Largest observed size and mean run-time ratio by kind of task."""

    sizes_by_kind: dict[str, Capacity] = attrs.field(factory=dict)
    ratios_by_kind: dict[str, float] = attrs.field(factory=dict)

    def observe_size(self, kind: str, used: Capacity) -> None:
        """Take one usage report."""
        known = self.sizes_by_kind.get(kind)
        self.sizes_by_kind[kind] = enlarge(known, used) if known else used

    def observe_run(self, kind: str, declared: float, actual: float) -> None:
        """Take the run time of one finished task, in seconds."""
        if declared <= 0:
            return
        ratio = min(max(actual / declared, MIN_RATIO), MAX_RATIO)
        known = self.ratios_by_kind.get(kind)
        if known is None:
            self.ratios_by_kind[kind] = ratio
        else:
            change = RUN_TIME_SHARE * (ratio - known)
            self.ratios_by_kind[kind] = known + change

    def charged_size(self, kind: str, declared: Capacity) -> Capacity:
        """Return the larger of the declared and the observed size."""
        observed = self.sizes_by_kind.get(kind)
        return enlarge(declared, observed) if observed else declared

    def expected_seconds(self, kind: str, declared: float) -> float:
        """Return the declared run time, corrected by the observed ratio."""
        return declared * self.ratios_by_kind.get(kind, 1)

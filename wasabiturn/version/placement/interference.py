"""How much each kind of task slows each other, learnt from late reports.

The slow-down of a task (run time over run time alone, less 1) is taken as
the sum over its neighbours of a coefficient for each pair of kinds, times
the neighbour's load. Each report corrects the coefficients of its pairs by
normalized least mean squares.
"""

from typing import final

import attrs

PRIOR_SLOWDOWN = 0.05
LEARNING_RATE = 0.3
MIN_PROGRESS = 0.02
MAX_COEFFICIENT = 10.0
# A pair that was not seen for this long counts as half as certain.
HALF_LIFE_SECONDS = 3600.0
HISTORY_SECONDS = 60.0


@final
@attrs.define
class PairEstimate:
    """Estimate for one pair of kinds."""

    coefficient: float = PRIOR_SLOWDOWN
    weight: float = 0.0
    updated_at: float = 0.0


@final
@attrs.define
class InterferenceModel:
    """Estimates by slowed and slowing kind."""

    pairs_by_slowed: dict[str, dict[str, PairEstimate]] = attrs.field(
        factory=dict,
    )

    def slowdown(self, slowed: str, slowing: str) -> float:
        """Return the expected slow-down of one task by one neighbour."""
        pairs = self.pairs_by_slowed.get(slowed)
        if pairs is None:
            return PRIOR_SLOWDOWN
        pair = pairs.get(slowing)
        return PRIOR_SLOWDOWN if pair is None else pair.coefficient

    def certainty(self, slowed: str, slowing: str, now: float) -> float:
        """Return from 0 to 1 how much is known of a pair, less by age."""
        pair = self.pairs_by_slowed.get(slowed, {}).get(slowing)
        if pair is None:
            return 0
        age = max(now - pair.updated_at, 0)
        weight = pair.weight * 0.5 ** (age / HALF_LIFE_SECONDS)
        return weight / (weight + 1)

    def learn(
        self,
        slowed: str,
        progress: float,
        loads_by_kind: dict[str, float],
        now: float,
    ) -> None:
        """Correct the pairs of ``slowed`` by one report.

        ``loads_by_kind`` sums the loads of its neighbours at the time that
        the report is about, ``now`` less its lag.
        """
        norm = sum(load * load for load in loads_by_kind.values())
        if norm <= 0:
            return
        observed = 1 / max(progress, MIN_PROGRESS) - 1
        expected = sum(
            self.slowdown(slowed, kind) * load
            for kind, load in loads_by_kind.items()
        )
        step = LEARNING_RATE * (observed - expected) / norm
        pairs = self.pairs_by_slowed.setdefault(slowed, {})
        for kind, load in loads_by_kind.items():
            pair = pairs.setdefault(kind, PairEstimate())
            _correct(pair, step * load, now)


def _correct(pair: PairEstimate, change: float, now: float) -> None:
    """Move the estimate; the first report of a pair counts in full."""
    certain = pair.weight > 0
    scaled = change if certain else change / LEARNING_RATE
    moved = pair.coefficient + scaled
    pair.coefficient = min(max(moved, 0), MAX_COEFFICIENT)
    pair.weight += 1
    pair.updated_at = now

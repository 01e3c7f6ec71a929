"""Online model of how much each kind of task slows down each other kind.

The slowdown of a task is its run time divided by its run time without
neighbours, minus 1. It is modelled as the sum over the neighbours of their
load times the coefficient of the pair of kinds. Usage reports arrive late;
each corrects the coefficients of its pairs by normalized least mean squares.
"""

from typing import final

import attrs

PRIOR_SLOWDOWN = 0.05
LEARNING_RATE = 0.3
MIN_PROGRESS = 0.02
MAX_COEFFICIENT = 10.0
# The weight in the certainty of a pair halves in this time without reports.
HALF_LIFE_SECONDS = 3600.0
HISTORY_SECONDS = 60.0


@final
@attrs.define
class PairEstimate:
    """Estimated slowdown of one kind of task by another."""

    coefficient: float = PRIOR_SLOWDOWN
    # Number of reports that the estimate is based on.
    weight: float = 0.0
    updated_at: float = 0.0


@final
@attrs.define
class InterferenceModel:
    """Estimates by slowed kind, then by slowing kind."""

    pairs_by_slowed: dict[str, dict[str, PairEstimate]] = attrs.field(
        factory=dict,
    )

    def slowdown(self, slowed: str, slowing: str) -> float:
        """Return the expected slowdown of one task by one neighbour."""
        pairs = self.pairs_by_slowed.get(slowed)
        if pairs is None:
            return PRIOR_SLOWDOWN
        pair = pairs.get(slowing)
        return PRIOR_SLOWDOWN if pair is None else pair.coefficient

    def certainty(self, slowed: str, slowing: str, now: float) -> float:
        """Return the certainty of a pair, from 0 to 1; it decays with age."""
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
        """Update the pairs of ``slowed`` from one report.

        ``loads_by_kind`` holds the summed loads of the neighbours when the
        report was sampled, which is ``now`` minus its lag.
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
    """Update an estimate; the first report of a pair counts in full."""
    has_reports = pair.weight > 0
    scaled = change if has_reports else change / LEARNING_RATE
    moved = pair.coefficient + scaled
    pair.coefficient = min(max(moved, 0), MAX_COEFFICIENT)
    pair.weight += 1
    pair.updated_at = now

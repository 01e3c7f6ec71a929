"""Online estimates of how filling images slow lasting jobs beside them.

In this model each pair of a lasting and a filling image has a *pressure*: the
relative rise of the lasting task's load, divided by the share of the worker's
CPU that the filling image uses. It is low for most pairs and high for some.
Estimates are updated as by a Kalman filter: an unexpected rise is attributed
to the images in use in proportion to the variance of their estimates.
Variances have a lower bound, as pressures may change within seconds.
"""

import heapq
import math
from collections.abc import Iterable, Mapping
from typing import final

import attrs

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.placing.loads import Load, UnloadedTails
from wasabiturn.batch.placing.worker_metrics import (
    MIN_USE,
    LastingGroup,
    current_uses,
    group_lasting_tasks,
)
from wasabiturn.messages.batch import PressureRecord

ImagePair = tuple[str, str]

# Prior of a pair that was never seen: between a low and a high pressure.
INITIAL_PRESSURE = 2.0
INITIAL_VARIANCE = 4.0
MIN_VARIANCE = 0.15
MAX_PRESSURE = 15.0
# Variances of one sample: of its load, and of the relative rise of the load.
LOAD_VARIANCE = 0.004
RISE_VARIANCE = 0.01
# The error of a sample is clamped to this many standard deviations.
MAX_DEVIATIONS = 2.0
# Time constant with which an estimate without samples returns to the prior.
DECAY_SECONDS = 60.0
ESTIMATE_LIFETIME_SECONDS = 5 * DECAY_SECONDS
# Callers choose the names of images. All pairs are stored together.
MAX_PAIRS = 2000
# Two lasting images are wholly dissimilar if their pressures from one filling
# image differ by this much.
DISSIMILAR_PRESSURE_GAP = 3.0
UNKNOWN_DISSIMILARITY = 0.5
# Share of a use that still counts in the next sample: request queues drain
# slowly after the load falls.
RETAINED_USE = 0.4
# How far uncertain pressures lower the weight of a sample of the load.
UNCERTAINTY_WEIGHT = 20.0


@final
@attrs.define
class Pressure:
    """Estimated pressure of one filling image on one lasting image."""

    level: float = INITIAL_PRESSURE
    variance: float = INITIAL_VARIANCE
    seen_at: float = 0.0

    def level_at(self, now: float) -> float:
        """Return the level decayed towards the prior until ``now``."""
        return _decay(self.level, INITIAL_PRESSURE, self._kept_share(now))

    def decayed(self, now: float) -> 'Pressure':
        """Return the estimate decayed towards the prior until ``now``."""
        kept_share = self._kept_share(now)
        return Pressure(
            level=_decay(self.level, INITIAL_PRESSURE, kept_share),
            variance=_decay(self.variance, INITIAL_VARIANCE, kept_share),
            seen_at=now,
        )

    def _kept_share(self, now: float) -> float:
        return math.exp((self.seen_at - now) / DECAY_SECONDS)


@final
@attrs.define
class Interference:
    """Load estimates by job, and pressures by (lasting, filling) image."""

    load_by_job: dict[str, Load] = attrs.field(factory=dict)
    pressure_by_pair: dict[ImagePair, Pressure] = attrs.field(factory=dict)
    unloaded_tails: UnloadedTails = attrs.field(factory=UnloadedTails)

    def learn(self, worker: Worker, now: float) -> None:
        """Update the estimates with the newest figures of a worker."""
        uses = _recent_uses(worker)
        for group in group_lasting_tasks(worker):
            if group.tails:
                self._update_job(group, uses, now)

    def drop_decayed(self, now: float) -> None:
        """Drop estimates that have decayed to the prior, or are too many."""
        oldest = now - ESTIMATE_LIFETIME_SECONDS
        self.load_by_job = {
            job_id: load
            for job_id, load in self.load_by_job.items()
            if load.seen_at is not None and load.seen_at > oldest
        }
        recent = [
            (pair, pressure)
            for pair, pressure in self.pressure_by_pair.items()
            if pressure.seen_at > oldest
        ]
        if len(recent) > MAX_PAIRS:
            recent = heapq.nlargest(
                MAX_PAIRS, recent, key=lambda each: each[1].seen_at
            )
        self.pressure_by_pair = dict(recent)

    def load(self, job_id: str) -> Load:
        """Return the load estimate of a lasting job."""
        return self.load_by_job.get(job_id, Load())

    def pressure(self, lasting: str, filling: str, now: float) -> float:
        """Return the relative rise of a load per use of a whole worker."""
        known = self.pressure_by_pair.get((lasting, filling))
        return known.level_at(now) if known else INITIAL_PRESSURE

    def load_rise(
        self,
        lasting: str,
        uses: Mapping[str, float],
        now: float,
    ) -> float:
        """Return the relative rise of an image's load due to ``uses``."""
        return sum(
            self.pressure(lasting, filling, now) * use
            for filling, use in uses.items()
        )

    def similarity(self, one: str, other: str, now: float) -> float:
        """Return how similar the pressures on two images are, from -1 to 1.

        It is at most 0 if a filling image has no estimate for one of them.
        """
        if one == other:
            return 1.0
        dissimilarities = [
            self._dissimilarity(one, other, filling, now)
            for _, filling in self.pressure_by_pair
        ]
        return 1 - 2 * max(dissimilarities, default=UNKNOWN_DISSIMILARITY)

    def _dissimilarity(
        self,
        one: str,
        other: str,
        filling: str,
        now: float,
    ) -> float:
        pairs = ((one, filling), (other, filling))
        if not self.pressure_by_pair.keys() >= set(pairs):
            return UNKNOWN_DISSIMILARITY
        levels = [self.pressure(*pair, now) for pair in pairs]
        gap = max(levels) - min(levels)
        return min(gap / DISSIMILAR_PRESSURE_GAP, 1.0)

    def _estimate(self, lasting: str, filling: str, now: float) -> Pressure:
        known = self.pressure_by_pair.get((lasting, filling))
        return known.decayed(now) if known else Pressure(seen_at=now)

    def _update_job(
        self,
        group: LastingGroup,
        uses: Mapping[str, float],
        now: float,
    ) -> None:
        observed = self.unloaded_tails.to_load(group.image, group.tail)
        load = self.load_by_job.setdefault(group.job_id, Load())
        if load.seen_at is not None:
            self._update_pressures(
                group.image, observed, load.current(), uses, now
            )
        uncertainty = UNCERTAINTY_WEIGHT * self._rise_variance(
            group.image, uses, now
        )
        own_load = observed / (1 + self.load_rise(group.image, uses, now))
        load.update(own_load, 1 / (1 + uncertainty), now)

    def _update_pressures(
        self,
        lasting: str,
        observed: float,
        own_load: float,
        uses: Mapping[str, float],
        now: float,
    ) -> None:
        """Attribute an unexpected rise of a load to the images in use."""
        total = self._rise_variance(lasting, uses, now)
        total += LOAD_VARIANCE / own_load**2 + RISE_VARIANCE
        error = observed / own_load - 1 - self.load_rise(lasting, uses, now)
        clamped = _clamp(error, MAX_DEVIATIONS * math.sqrt(total))
        for filling, use in uses.items():
            known = self._estimate(lasting, filling, now)
            gain = known.variance * use / total
            level = known.level + gain * clamped
            variance = known.variance * (1 - gain * use)
            self.pressure_by_pair[lasting, filling] = Pressure(
                level=min(max(level, 0.0), MAX_PRESSURE),
                variance=max(variance, MIN_VARIANCE),
                seen_at=now,
            )

    def _rise_variance(
        self,
        lasting: str,
        uses: Mapping[str, float],
        now: float,
    ) -> float:
        """Return the variance of the rise expected from ``uses``."""
        return sum(
            self._estimate(lasting, filling, now).variance * use * use
            for filling, use in uses.items()
        )


def _decay(estimate: float, prior: float, kept_share: float) -> float:
    return prior + kept_share * (estimate - prior)


def _clamp(error: float, limit: float) -> float:
    return min(max(error, -limit), limit)


def _recent_uses(worker: Worker) -> dict[str, float]:
    """Update and return the recent CPU use of each filling image.

    It is the current use, or the retained part of the use before if that is
    higher.
    """
    present = current_uses(worker)
    kept = {
        image: RETAINED_USE * use for image, use in worker.recent_uses.items()
    }
    uses = {
        image: max(present.get(image, 0), kept.get(image, 0))
        for image in present.keys() | kept.keys()
    }
    worker.recent_uses = {
        image: use for image, use in uses.items() if use > MIN_USE
    }
    return worker.recent_uses


def restore_interference(
    records: Iterable[PressureRecord],
    now: float,
) -> Interference:
    """Return the estimates that an earlier leader stored."""
    return Interference(
        pressure_by_pair={
            (record.lasting, record.filling): Pressure(
                level=record.level,
                variance=record.variance,
                seen_at=now,
            )
            for record in records
        },
    )


def list_pressure_records(interference: Interference) -> list[PressureRecord]:
    """Return the pressures to store for the next leader, rounded."""
    return [
        PressureRecord(
            lasting=lasting,
            filling=filling,
            level=round(pressure.level, 1),
            variance=round(pressure.variance, 1),
        )
        for (
            lasting,
            filling,
        ), pressure in interference.pressure_by_pair.items()
    ]

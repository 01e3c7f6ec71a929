"""What filling images do to lasting jobs, learnt from figures.

A filling image raises the load of a lasting task by a pressure for each pair
of images, times the share of the worker that it uses. Most pairs hardly press,
some press hard. Each estimate has a variance, so that the images beside a task
share the blame by what is not yet known of them; variances never fall to
nothing, as pressures may change within seconds.
"""

import math
from collections.abc import Iterable, Mapping
from typing import final

import attrs

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.loads import IdleTails, Load
from wasabiturn.batch.worker_metrics import (
    MIN_USE,
    LastingGroup,
    lasting_groups,
    present_uses,
)
from wasabiturn.messages.batch import PressureRecord

Pair = tuple[str, str]

# Pressure of a pair that was never seen, between those of the usual kinds.
FIRST_PRESSURE = 2.0
FIRST_VARIANCE = 4.0
MIN_VARIANCE = 0.15
MAX_PRESSURE = 15.0
# Variances of what one sample shows: of a load, and of its rise by pressure.
LOAD_VARIANCE = 0.004
RISE_VARIANCE = 0.01
# Standard deviations beyond which a sample moves an estimate no further.
MAX_SURPRISE = 2.0
# How fast an estimate that is not seen again goes back to the first one.
FORGETTING_SECONDS = 60.0
KEPT_SECONDS = 5 * FORGETTING_SECONDS
# Lasting images are unlike if the same image presses one by so much more.
UNLIKE_PRESSURE = 3.0
UNKNOWN = 0.5
# Part of a use that still counts in the next sample: queues drain slowly.
KEPT_USE = 0.4
# How far uncertain pressures lower the trust in the load of a pressed task.
DOUBT = 20.0


@final
@attrs.define
class Pressure:
    """Estimate for one lasting and one filling image."""

    level: float = FIRST_PRESSURE
    variance: float = FIRST_VARIANCE
    seen_at: float = 0.0

    def age(self, now: float) -> 'Pressure':
        """Return what is left of the estimate at ``now``."""
        kept = math.exp((self.seen_at - now) / FORGETTING_SECONDS)
        return Pressure(
            level=FIRST_PRESSURE + kept * (self.level - FIRST_PRESSURE),
            variance=FIRST_VARIANCE + kept * (self.variance - FIRST_VARIANCE),
            seen_at=now,
        )


@final
@attrs.define
class Interference:
    """Estimates by lasting job, and by lasting and filling image."""

    load_by_job: dict[str, Load] = attrs.field(factory=dict)
    pressure_by_pair: dict[Pair, Pressure] = attrs.field(factory=dict)
    idle_tails: IdleTails = attrs.field(factory=IdleTails)

    def learn(self, worker: Worker, now: float) -> None:
        """Take the newest figures of a worker into the estimates."""
        uses = _recent_uses(worker)
        for group in lasting_groups(worker):
            if group.tails:
                self._learn_group(group, uses, now)

    def drop_decayed(self, now: float) -> None:
        """Drop what says no more than the first estimates do."""
        oldest = now - KEPT_SECONDS
        self.load_by_job = {
            job_id: load
            for job_id, load in self.load_by_job.items()
            if load.seen_at is not None and load.seen_at > oldest
        }
        self.pressure_by_pair = {
            pair: pressure
            for pair, pressure in self.pressure_by_pair.items()
            if pressure.seen_at > oldest
        }

    def load(self, job_id: str) -> Load:
        """Return the estimate for a lasting job."""
        return self.load_by_job.get(job_id, Load())

    def pressure(self, lasting: str, filling: str, now: float) -> float:
        """Return the rise of a load for the use of a whole worker."""
        return self._pressure(lasting, filling, now).level

    def press(
        self,
        lasting: str,
        uses: Mapping[str, float],
        now: float,
    ) -> float:
        """Return the share by which ``uses`` raise the load of an image."""
        return sum(
            self.pressure(lasting, filling, now) * use
            for filling, use in uses.items()
        )

    def likeness(self, one: str, other: str, now: float) -> float:
        """Tell how alike two lasting images are pressed, from -1 to 1.

        What is not known of either counts as neither like nor unlike.
        """
        if one == other:
            return 1.0
        gaps = [
            self._unlikeness(one, other, filling, now)
            for _, filling in self.pressure_by_pair
        ]
        return 1 - 2 * max(gaps, default=UNKNOWN)

    def _unlikeness(
        self,
        one: str,
        other: str,
        filling: str,
        now: float,
    ) -> float:
        pairs = ((one, filling), (other, filling))
        if not self.pressure_by_pair.keys() >= set(pairs):
            return UNKNOWN
        levels = [self.pressure(*pair, now) for pair in pairs]
        gap = max(levels) - min(levels)
        return min(gap / UNLIKE_PRESSURE, 1.0)

    def _pressure(self, lasting: str, filling: str, now: float) -> Pressure:
        known = self.pressure_by_pair.get((lasting, filling))
        return known.age(now) if known else Pressure(seen_at=now)

    def _learn_group(
        self,
        group: LastingGroup,
        uses: Mapping[str, float],
        now: float,
    ) -> None:
        shown = self.idle_tails.to_load(group.image, group.tail)
        load = self.load_by_job.setdefault(group.job_id, Load())
        if load.seen_at is not None:
            self._learn_pressures(group.image, shown, load.present(), uses, now)
        doubt = DOUBT * self._spread(group.image, uses, now)
        alone = shown / (1 + self.press(group.image, uses, now))
        load.take(alone, 1 / (1 + doubt), now)

    def _learn_pressures(
        self,
        lasting: str,
        shown: float,
        alone: float,
        uses: Mapping[str, float],
        now: float,
    ) -> None:
        """Share an unexpected rise of a load among the images in use."""
        total = self._spread(lasting, uses, now)
        total += LOAD_VARIANCE / alone**2 + RISE_VARIANCE
        error = shown / alone - 1 - self.press(lasting, uses, now)
        bounded = _bound(error, MAX_SURPRISE * math.sqrt(total))
        for filling, use in uses.items():
            known = self._pressure(lasting, filling, now)
            gain = known.variance * use / total
            level = known.level + gain * bounded
            variance = known.variance * (1 - gain * use)
            self.pressure_by_pair[lasting, filling] = Pressure(
                level=min(max(level, 0.0), MAX_PRESSURE),
                variance=max(variance, MIN_VARIANCE),
                seen_at=now,
            )

    def _spread(
        self,
        lasting: str,
        uses: Mapping[str, float],
        now: float,
    ) -> float:
        """Return the variance of what ``uses`` are expected to add."""
        return sum(
            self._pressure(lasting, filling, now).variance * use * use
            for filling, use in uses.items()
        )


def _bound(error: float, most: float) -> float:
    return min(max(error, -most), most)


def _recent_uses(worker: Worker) -> dict[str, float]:
    """Return what filling images use, or did use just before."""
    present = present_uses(worker)
    kept = {image: KEPT_USE * use for image, use in worker.recent_uses.items()}
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
    """Return what an earlier leader had learnt."""
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


def list_pressure_records(known: Interference) -> list[PressureRecord]:
    """Return what another leader is to know, rounded."""
    return [
        PressureRecord(
            lasting=lasting,
            filling=filling,
            level=round(pressure.level, 1),
            variance=round(pressure.variance, 1),
        )
        for (lasting, filling), pressure in known.pressure_by_pair.items()
    ]

"""Pace of filling tasks beside lasting ones with a tail latency goal.

Loads change within seconds. Each new sample of a worker therefore sets the
highest pace of each filling image at which all tails are expected to stay
below their goals, slowing the image that interferes most first. If tails still
come near their goals, all filling images on the worker are slowed step by step.
"""

import math
from collections.abc import Mapping
from typing import final

import attrs

from wasabiturn.batch.fleet import Allocation, Worker
from wasabiturn.batch.placing.interference import Interference
from wasabiturn.batch.placing.stalls import update_stalls
from wasabiturn.batch.placing.worker_metrics import (
    full_pace_uses,
    group_lasting_tasks,
    highest_tail,
)

# Target maximum load of a lasting task; it reaches its goal at about 0.83.
TARGET_LOAD = 0.81
# Tail, as a share of its goal, above which the estimates were wrong.
HIGH_TAIL = 0.95
# Consecutive samples with a high tail that only update the estimates; each
# further one multiplies all paces by the factor.
TOLERATED_HIGH_SAMPLES = 1
BACKOFF_FACTOR = 0.5
# Figures that come sooner mostly cover the same time as the sample before.
MIN_SAMPLE_SECONDS = 0.2
PACE_STEP_PERCENT = 10
FULL_PERCENT = 100
PACE_REPEAT_SECONDS = 1.5
_MIN_SHARE = PACE_STEP_PERCENT / FULL_PERCENT


@final
@attrs.define
class ProtectedJob:
    """A lasting job on a worker, whose load may rise by ``budget`` (relative).

    ``rise_by_image`` is the rise by each filling image at full pace.
    """

    rise_by_image: dict[str, float]
    budget: float

    def excess(self, share_by_image: Mapping[str, float]) -> float:
        """Return how far the load rises beyond the budget at these paces."""
        load_rise = sum(
            full_rise * share_by_image[image]
            for image, full_rise in self.rise_by_image.items()
        )
        return load_rise - self.budget


def adjust_pace(worker: Worker, interference: Interference, now: float) -> None:
    """Learn from a worker's figures and set its paces, if they are new."""
    if not _record_sample(worker, now):
        return
    interference.learn(worker, now)
    _count_high_tail_samples(worker)
    set_pace(worker, interference, now)


def set_pace(worker: Worker, interference: Interference, now: float) -> None:
    """Set the pace of the worker's filling images from the estimates."""
    excess_samples = max(worker.high_tail_samples - TOLERATED_HIGH_SAMPLES, 0)
    backoff = BACKOFF_FACTOR**excess_samples
    share_by_image = choose_shares(worker, interference, now)
    worker.percent_by_image = {
        image: _to_percent(share * backoff)
        for image, share in share_by_image.items()
    }
    update_stalls(worker, now)


def choose_shares(
    worker: Worker,
    interference: Interference,
    now: float,
) -> dict[str, float]:
    """Return the pace of each filling image, as a share of full pace."""
    uses = full_pace_uses(worker)
    share_by_image = dict.fromkeys(uses, 1.0)
    protected_jobs = _list_protected_jobs(worker, interference, uses, now)
    for _ in range(len(uses) * len(protected_jobs)):
        excesses = [each.excess(share_by_image) for each in protected_jobs]
        highest = max(excesses)
        if highest <= 0:
            break
        worst = protected_jobs[excesses.index(highest)]
        _slow_most_interfering(worst, highest, share_by_image)
    return share_by_image


def find_pace_updates(worker: Worker, now: float) -> list[Allocation]:
    """Return the filling runs that need a pace order at ``now``.

    Orders may be lost or applied out of order, so once a pace was ordered for
    a run, it is ordered again at intervals.
    """
    return [
        allocation
        for allocation in worker.allocations_by_task.values()
        if allocation.task.step.fills
        and allocation.row is not None
        and _needs_pace_order(worker, allocation, now)
    ]


def target_percent(worker: Worker, allocation: Allocation) -> int:
    """Return the pace that a filling run should have, in per cent."""
    image = allocation.task.step.image
    return worker.percent_by_image.get(image, FULL_PERCENT)


def _record_sample(worker: Worker, now: float) -> bool:
    """Record the worker's figures; return whether they are a new sample."""
    figures = tuple((row.task, row.figure) for row in worker.report.running)
    if (
        now < worker.sampled_at + MIN_SAMPLE_SECONDS
        or figures == worker.figures
    ):
        return False
    worker.sampled_at = now
    worker.figures = figures
    return True


def _count_high_tail_samples(worker: Worker) -> None:
    is_high = highest_tail(worker) > HIGH_TAIL
    worker.high_tail_samples = worker.high_tail_samples + 1 if is_high else 0


def _list_protected_jobs(
    worker: Worker,
    interference: Interference,
    uses: Mapping[str, float],
    now: float,
) -> list[ProtectedJob]:
    return [
        ProtectedJob(
            rise_by_image={
                image: interference.pressure(group.image, image, now) * use
                for image, use in uses.items()
            },
            budget=compute_budget(interference.load(group.job_id).forecast()),
        )
        for group in group_lasting_tasks(worker)
    ]


def compute_budget(load: float) -> float:
    """Return the relative rise that keeps ``load`` within its target."""
    return max(TARGET_LOAD / load - 1, 0)


def _slow_most_interfering(
    protected: ProtectedJob,
    excess: float,
    share_by_image: dict[str, float],
) -> None:
    """Slow the image that raises the load most, to a pause if need be."""
    image = max(
        protected.rise_by_image,
        key=lambda each: protected.rise_by_image[each] * share_by_image[each],
    )
    full_rise = protected.rise_by_image[image]
    share = share_by_image[image] - excess / full_rise
    share_by_image[image] = share if share > _MIN_SHARE else 0.0


def _to_percent(share: float) -> int:
    return (
        math.floor(share * FULL_PERCENT / PACE_STEP_PERCENT) * PACE_STEP_PERCENT
    )


def _needs_pace_order(
    worker: Worker, allocation: Allocation, now: float
) -> bool:
    if allocation.ordered_percent != target_percent(worker, allocation):
        return True
    if allocation.pace_ordered_at is None:
        return False
    return now >= allocation.pace_ordered_at + PACE_REPEAT_SECONDS

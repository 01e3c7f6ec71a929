"""Pace of filling tasks beside lasting ones with a goal for their tails.

Answers loads that change within seconds: each new sample of a worker gives the
highest pace of each filling image at which all tails are expected to stay
below their goals; the image that presses hardest is slowed first. Where tails
are near their goals all the same, everything beside them is slowed step by
step.
"""

import math
from collections.abc import Mapping
from typing import final

import attrs

from wasabiturn.batch.fleet import Allocation, Worker
from wasabiturn.batch.interference import Interference
from wasabiturn.batch.stalls import note_halts
from wasabiturn.batch.worker_metrics import (
    full_uses,
    highest_tail,
    lasting_groups,
)

# Load that a lasting task is to stay below; its goal is reached at about 0.83.
TARGET_LOAD = 0.81
# A tail above this, in shares of its goal, was not expected.
HOT_TAIL = 0.95
# Samples of a hot tail in a row that the estimates get to answer by themselves.
PATIENT_SAMPLES = 1
CAUTION_FACTOR = 0.5
# Newer figures than these are mostly those of the sample before.
SAMPLE_SECONDS = 0.2
PACE_STEP = 10
FULL_PERCENT = 100
REPEAT_SECONDS = 1.5
_LEAST_SHARE = PACE_STEP / FULL_PERCENT


@final
@attrs.define
class Pressed:
    """A lasting job on a worker; ``budget`` is how far its load may rise."""

    press_by_image: dict[str, float]
    budget: float

    def excess(self, share_by_image: Mapping[str, float]) -> float:
        """Return how far the load rises beyond the budget at some paces."""
        press = sum(
            full * share_by_image[image]
            for image, full in self.press_by_image.items()
        )
        return press - self.budget


def adjust_pace(worker: Worker, known: Interference, now: float) -> None:
    """Set the pace of the worker's filling images, if its figures are new."""
    if not _take_sample(worker, now):
        return
    known.learn(worker, now)
    _count_hot_samples(worker)
    set_pace(worker, known, now)


def set_pace(worker: Worker, known: Interference, now: float) -> None:
    """Set the pace of the worker's filling images by what is known."""
    surplus = max(worker.hot_samples - PATIENT_SAMPLES, 0)
    caution = CAUTION_FACTOR**surplus
    share_by_image = choose_shares(worker, known, now)
    worker.percent_by_image = {
        image: _to_percent(share * caution)
        for image, share in share_by_image.items()
    }
    note_halts(worker, now)


def choose_shares(
    worker: Worker,
    known: Interference,
    now: float,
) -> dict[str, float]:
    """Return the pace of each filling image, as a share of full pace."""
    uses = full_uses(worker)
    share_by_image = dict.fromkeys(uses, 1.0)
    pressed = _list_pressed(worker, known, uses, now)
    for _ in range(len(uses) * len(pressed)):
        excesses = [each.excess(share_by_image) for each in pressed]
        highest = max(excesses)
        if highest <= 0:
            break
        worst = pressed[excesses.index(highest)]
        _slow_hardest(worst, highest, share_by_image)
    return share_by_image


def find_pace_updates(worker: Worker, now: float) -> list[Allocation]:
    """Return the filling runs whose pace is to be ordered at ``now``.

    An order may be lost, or be carried out after a newer one, so the pace of
    a run that was ever slowed is ordered again from time to time.
    """
    return [
        allocation
        for allocation in worker.allocations_by_task.values()
        if allocation.task.step.fills
        and allocation.row is not None
        and _needs_order(worker, allocation, now)
    ]


def target_percent(worker: Worker, allocation: Allocation) -> int:
    """Return the pace that a filling run is to have, in per cent."""
    image = allocation.task.step.image
    return worker.percent_by_image.get(image, FULL_PERCENT)


def _take_sample(worker: Worker, now: float) -> bool:
    """Tell whether the worker's figures are others than those judged last."""
    figures = tuple((row.task, row.figure) for row in worker.report.running)
    if now < worker.sampled_at + SAMPLE_SECONDS or figures == worker.figures:
        return False
    worker.sampled_at = now
    worker.figures = figures
    return True


def _count_hot_samples(worker: Worker) -> None:
    is_hot = highest_tail(worker) > HOT_TAIL
    worker.hot_samples = worker.hot_samples + 1 if is_hot else 0


def _list_pressed(
    worker: Worker,
    known: Interference,
    uses: Mapping[str, float],
    now: float,
) -> list[Pressed]:
    return [
        Pressed(
            press_by_image={
                image: known.pressure(group.image, image, now) * use
                for image, use in uses.items()
            },
            budget=find_budget(known.load(group.job_id).expect()),
        )
        for group in lasting_groups(worker)
    ]


def find_budget(load: float) -> float:
    """Return the share by which ``load`` may rise."""
    return max(TARGET_LOAD / load - 1, 0)


def _slow_hardest(
    pressed: Pressed,
    excess: float,
    share_by_image: dict[str, float],
) -> None:
    """Slow the image that presses one job hardest, at most to nothing."""
    image = max(
        pressed.press_by_image,
        key=lambda each: pressed.press_by_image[each] * share_by_image[each],
    )
    full = pressed.press_by_image[image]
    share = share_by_image[image] - excess / full
    share_by_image[image] = share if share > _LEAST_SHARE else 0.0


def _to_percent(share: float) -> int:
    return math.floor(share * FULL_PERCENT / PACE_STEP) * PACE_STEP


def _needs_order(worker: Worker, allocation: Allocation, now: float) -> bool:
    if allocation.ordered_percent != target_percent(worker, allocation):
        return True
    if allocation.pace_ordered_at is None:
        return False
    return now >= allocation.pace_ordered_at + REPEAT_SECONDS

"""Pace of filling tasks beside lasting ones with a goal for their tails.

Answers loads that change within seconds: as soon as a tail nears its goal, the
filling image that presses it most is slowed, and it gets its speed back in
small steps once the tails leave room for what it is expected to add.
"""

from wasabiturn.batch.fleet import Charge, Worker
from wasabiturn.batch.interference import (
    Interference,
    tails_of,
    uses_by_image,
)

HIGH_TAIL = 0.75
BROKEN_TAIL = 0.95
ROOM_TAIL = 0.6
SLOWER_FACTOR = 0.5
MIN_PERCENT = 10
FASTER_PERCENT = 15
FULL_PERCENT = 100
# A run that stands still for so long goes elsewhere, if its work is saved.
STANDSTILL_SECONDS = 1.0
REPEAT_SECONDS = 1.5


def adjust_pace(worker: Worker, known: Interference, now: float) -> None:
    """Set the pace of the worker's filling images by its newest tails."""
    known.learn(worker)
    uses = uses_by_image(worker)
    highest = max((tail for _, tail in tails_of(worker)), default=0.0)
    if highest > HIGH_TAIL:
        _slow_down(worker, known, uses, highest, now)
        return
    for image in list(worker.percent_by_image):
        _speed_up(worker, known, uses, image, highest)


def list_paces(worker: Worker, now: float) -> list[Charge]:
    """Return the filling runs whose pace is to be ordered at ``now``.

    An order may be lost, or be carried out after a newer one, so the pace of
    a run that was ever slowed is ordered again from time to time.
    """
    return [
        charge
        for charge in worker.charges_by_task.values()
        if charge.task.step.fills
        and charge.row is not None
        and _needs_order(worker, charge, now)
    ]


def _needs_order(worker: Worker, charge: Charge, now: float) -> bool:
    if charge.paced_percent != wanted_percent(worker, charge):
        return True
    if charge.paced_at is None:
        return False
    return now >= charge.paced_at + REPEAT_SECONDS


def wanted_percent(worker: Worker, charge: Charge) -> int:
    """Return the pace that a filling run is to have, in per cent."""
    image = charge.task.step.image
    return worker.percent_by_image.get(image, FULL_PERCENT)


def mark_standstills(worker: Worker, now: float) -> None:
    """Mark the runs to stop that stand still and lose little by it."""
    for charge in worker.charges_by_task.values():
        step = charge.task.step
        since = worker.halted_at_by_image.get(step.image)
        if not step.fills or not step.checkpoints or since is None:
            continue
        if now >= max(since, charge.started_at) + STANDSTILL_SECONDS:
            charge.is_to_stop = True


def _slow_down(
    worker: Worker,
    known: Interference,
    uses: dict[str, float],
    highest: float,
    now: float,
) -> None:
    """Slow the images that press most; more of them the higher the tail."""
    by_harm = sorted(
        uses,
        key=lambda image: known.worst_pressure(worker, image) * uses[image],
        reverse=True,
    )
    count = 2 if highest > BROKEN_TAIL else 1
    for image in by_harm[:count]:
        percent = worker.percent_by_image.get(image, FULL_PERCENT)
        slower = int(percent * SLOWER_FACTOR)
        if slower < MIN_PERCENT:
            slower = 0
            worker.halted_at_by_image.setdefault(image, now)
        worker.percent_by_image[image] = slower


def _speed_up(
    worker: Worker,
    known: Interference,
    uses: dict[str, float],
    image: str,
    highest: float,
) -> None:
    percent = worker.percent_by_image[image]
    faster = min(percent + FASTER_PERCENT, FULL_PERCENT)
    use = uses.get(image, 0)
    added = use * (faster - percent) / percent if percent else 0
    pressure = known.worst_pressure(worker, image)
    if highest + pressure * added > ROOM_TAIL:
        return
    worker.halted_at_by_image.pop(image, None)
    if faster == FULL_PERCENT:
        worker.percent_by_image.pop(image)
    else:
        worker.percent_by_image[image] = faster

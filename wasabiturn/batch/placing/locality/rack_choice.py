"""Choice of one rack for a step whose tasks slow down on several.

Made for steps that are no gang: their tasks may start one after the other. One
rack pays off if the step ends there sooner than on all racks with the slowdown,
even if some tasks wait for others there to end.
"""

from collections.abc import Iterable, Mapping
from math import ceil
from typing import final

import attrs

from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.placing.candidates import can_take, leftover_millicores
from wasabiturn.batch.state.jobs import Part
from wasabiturn.messages.batch import Step


@final
@attrs.frozen
class RackTerms:
    """Seconds that a task takes on one rack, and the factor on several."""

    task_seconds: float
    slowdown_factor: float


def choose_rack(
    tasks: int, places_by_rack: Mapping[str, int], terms: RackTerms
) -> str:
    """Return the rack for a step, or nothing if it starts on several.

    ``places_by_rack`` has the free places now.
    """
    if not places_by_rack:
        return ''
    # The rack with most places: some may prove to be unsuitable.
    rack, places = max(places_by_rack.items(), key=lambda each: each[1])
    if places >= tasks:
        return rack
    if not places:
        return ''
    own = ceil(tasks / places) * terms.task_seconds
    waves = ceil(tasks / sum(places_by_rack.values()))
    split = waves * terms.task_seconds * terms.slowdown_factor
    return rack if own <= split else ''


def count_free_places(part: Part, workers: Iterable[Worker]) -> dict[str, int]:
    """Return how many tasks of a step could start now, by rack."""
    places_by_rack: dict[str, int] = {}
    for worker in workers:
        if can_take(part, worker, {}):
            rack = worker.report.rack
            places = _count_places(part.step, worker)
            places_by_rack[rack] = places_by_rack.get(rack, 0) + places
    return places_by_rack


def find_racks(part: Part, fleet: Fleet) -> set[str]:
    """Return the racks where tasks of a step run."""
    workers = [
        fleet.worker_of(task)
        for task in part.job.active_by_name.values()
        if task.part is part
    ]
    return {worker.report.rack for worker in workers if worker is not None}


def _count_places(step: Step, worker: Worker) -> int:
    report = worker.report
    free = report.millicores - worker.millicores
    if step.fills:
        free = int(leftover_millicores(worker))
    places = max(free, 0) // max(step.millicores, 1)
    if step.memory_mb:
        free_memory_mb = report.memory_mb - worker.memory_mb
        places = min(places, free_memory_mb // step.memory_mb)
    if step.accelerators:
        free_accelerators = report.accelerators - worker.accelerators
        places = min(places, free_accelerators // step.accelerators)
    if step.max_per_worker:
        places = min(places, step.max_per_worker)
    return places

"""Which waiting tasks start now, and where."""

from collections.abc import Iterator
from itertools import islice

from wasabiturn.batch.fleet import Allocation, Fleet
from wasabiturn.batch.gangs import start_gang
from wasabiturn.batch.interference import Interference
from wasabiturn.batch.jobs import Part
from wasabiturn.batch.ordering import Moment, needs_no_less, order_parts
from wasabiturn.batch.placing import Places, choose_worker, find_places
from wasabiturn.batch.stalls import find_halted
from wasabiturn.batch.state import BatchState
from wasabiturn.messages.batch import StartRun, Step

MAX_STARTS = 200
# A job that runs nothing for longer takes any worker with room.
MAX_IDLE_SECONDS = 2.0


def plan_starts(
    batch_state: BatchState,
    fleet: Fleet,
    known: Interference,
    moment: Moment,
) -> Iterator[StartRun]:
    """Yield starts, one at a time.

    The caller applies each before it asks for the next, so that the room it
    takes is charged.
    """
    places = find_places(
        fleet.workers_by_incarnation.values(),
        batch_state,
        known,
        moment.now,
    )
    if places.workers:
        parts = order_parts(batch_state, moment)
        started = _start_parts(parts, places, fleet, moment.now)
        yield from islice(started, MAX_STARTS)


def plan_moves(
    batch_state: BatchState,
    fleet: Fleet,
    known: Interference,
    now: float,
) -> Iterator[Allocation]:
    """Yield runs to stop since they hardly move and would do so elsewhere.

    At most one a call: where it goes, the next one may find no room.
    """
    workers = list(fleet.workers_by_incarnation.values())
    halted = [
        (worker, allocation)
        for worker in workers
        for allocation in find_halted(worker, now)
    ]
    if not halted:
        return
    places = find_places(workers, batch_state, known, now)
    for worker, allocation in halted:
        found = choose_worker(allocation.task, places)
        if found is not None and found is not worker:
            yield allocation
            return


def _start_parts(
    parts: list[Part],
    places: Places,
    fleet: Fleet,
    now: float,
) -> Iterator[StartRun]:
    stuck: list[Step] = []
    for part in parts:
        idle_seconds = fleet.idle_seconds(part.job, now)
        places.takes_any = idle_seconds >= MAX_IDLE_SECONDS
        if not places.takes_any and any(
            needs_no_less(part.step, each) for each in stuck
        ):
            continue
        yield from _start_part(part, places)
        if part.waiting_by_name:
            stuck.append(part.step)


def _start_part(part: Part, places: Places) -> Iterator[StartRun]:
    if part.step.gang:
        yield from start_gang(part, places)
        return
    for task in list(part.waiting_by_name.values()):
        worker = choose_worker(task, places)
        if worker is None:
            return
        yield StartRun(
            task=task.name,
            run=task.run + 1,
            worker=worker.name,
            born_ms=worker.born_ms,
            agent=worker.agent,
        )
        places.note_start(worker)
        # The job runs something now.
        places.takes_any = False

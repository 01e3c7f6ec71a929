"""Selection of the tasks to start and of the runs to move."""

from collections.abc import Iterator

import attrs

from wasabiturn.batch.fleet import Fleet
from wasabiturn.batch.isolation.suspects import (
    find_isolating_workers,
    start_suspects,
)
from wasabiturn.batch.orders.bindings import find_held_tasks
from wasabiturn.batch.placing.acceptance import is_fresh
from wasabiturn.batch.placing.avoidance import (
    find_avoided_candidates,
    start_idle,
)
from wasabiturn.batch.placing.candidates import (
    Candidates,
    choose_worker,
    create_start,
    find_candidates,
    may_start,
)
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.placing.gangs import start_gang
from wasabiturn.batch.placing.locality.rounds import LocalityRound
from wasabiturn.batch.placing.moves import PlannedMove, lacks_place, start_moved
from wasabiturn.batch.placing.ranking import create_ranking
from wasabiturn.batch.placing.stalls import find_stalled
from wasabiturn.batch.queueing.ordering import (
    Moment,
    has_no_chance,
    order_lasting_parts,
    order_parts,
)
from wasabiturn.batch.queueing.progress import MAX_IDLE_SECONDS, idle_seconds
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Part
from wasabiturn.messages.batch import StartRun

# The gang that reaches it is completed.
MAX_STARTS_PER_PLAN = 200
# A filling part without a worker is not tried again for this long.
REFUSED_PART_SECONDS = 0.05


def plan_starts(
    batch_state: BatchState,
    fleet: Fleet,
    forecasts: Forecasts,
    moment: Moment,
) -> Iterator[StartRun]:
    """Yield the runs to start.

    The caller must apply each before it asks for the next, so that its
    resources are charged.
    """
    candidates = find_candidates(
        fleet.workers_by_incarnation.values(),
        batch_state,
        forecasts,
        moment.now,
        find_held_tasks(fleet, batch_state, moment.now),
    )
    yield from _start_lasting_first(batch_state, fleet, candidates, moment)
    yield from start_suspects(batch_state, fleet, candidates, moment)
    yield from start_moved(fleet, candidates)
    if candidates.workers:
        parts = [
            part
            for part in order_parts(
                batch_state, moment, by_priority=fleet.orders_by_priority
            )
            if _has_ordinary(part)
        ]
        started = _start_parts(parts, candidates, fleet, moment)
        yield from _limit_starts(batch_state, started)
    yield from _start_at_avoided(batch_state, fleet, candidates, moment)


def _start_lasting_first(
    batch_state: BatchState,
    fleet: Fleet,
    candidates: Candidates,
    moment: Moment,
) -> Iterator[StartRun]:
    """Yield lasting tasks that suspects have kept from workers for too long.

    Each suspect holds a worker for a moment only, but many in turn would hold
    the only one with room for as long as they are.
    """
    isolation = fleet.isolation
    if not isolation.withholds_too_long(moment.now):
        return
    isolating = find_isolating_workers(batch_state, fleet, moment.now)
    others = attrs.evolve(
        candidates,
        workers=[
            worker for worker in candidates.workers if worker not in isolating
        ],
    )
    for start in _start_lasting(batch_state, fleet, others, moment):
        isolation.withheld_since = moment.now
        yield start


def _start_at_avoided(
    batch_state: BatchState,
    fleet: Fleet,
    candidates: Candidates,
    moment: Moment,
) -> Iterator[StartRun]:
    """Yield tasks that only workers with failures have room for.

    Those are lasting tasks, and one task of each job that runs nothing.
    """
    avoided = find_avoided_candidates(
        candidates, fleet.workers_by_incarnation.values(), batch_state
    )
    if not avoided.workers:
        return
    isolating = find_isolating_workers(batch_state, fleet, moment.now)
    others = attrs.evolve(
        avoided,
        workers=[
            worker
            for worker in avoided.workers
            if worker not in isolating
            and (worker.name, worker.born_ms) not in fleet.isolation.reserved
        ],
    )
    if others.workers:
        yield from _start_lasting(batch_state, fleet, others, moment)
        yield from start_idle(batch_state, fleet, others, moment)


def _start_lasting(
    batch_state: BatchState,
    fleet: Fleet,
    candidates: Candidates,
    moment: Moment,
) -> Iterator[StartRun]:
    parts = filter(_has_ordinary, order_lasting_parts(batch_state, moment))
    started = _start_parts(list(parts), candidates, fleet, moment)
    yield from _limit_starts(batch_state, started)


def plan_moves(
    batch_state: BatchState,
    fleet: Fleet,
    forecasts: Forecasts,
    now: float,
) -> Iterator[PlannedMove]:
    """Yield a stalled run to stop, if another worker can take its task.

    That worker and its own must have reported a moment ago.

    Yields at most one, as its task may take the room of the next.
    """
    fresh = [
        worker
        for worker in fleet.workers_by_incarnation.values()
        if is_fresh(worker, now)
    ]
    stalled = [
        (worker, allocation)
        for worker in fresh
        for allocation in find_stalled(worker, now)
        # An open order would bind the task to this worker.
        if not allocation.has_open_order(now)
    ]
    if not stalled:
        return
    candidates = find_candidates(
        fresh,
        batch_state,
        forecasts,
        now,
        find_held_tasks(fleet, batch_state, now),
    )
    for worker, allocation in stalled:
        found = choose_worker(allocation.task, candidates)
        if found is not None and found is not worker:
            yield PlannedMove(allocation, found)
            return


def _limit_starts(
    batch_state: BatchState, starts: Iterator[StartRun]
) -> Iterator[StartRun]:
    """Yield the first starts, and the others of a gang that these begin."""
    for count, start in enumerate(starts, 1):
        yield start
        part = batch_state.tasks_by_name[start.task].part
        is_cut = part.step.gang and part.waiting_by_name
        if count >= MAX_STARTS_PER_PLAN and not is_cut:
            return


def _start_parts(
    parts: list[Part],
    candidates: Candidates,
    fleet: Fleet,
    moment: Moment,
) -> Iterator[StartRun]:
    now = moment.now
    unplaced: list[Part] = []
    locality = LocalityRound(fleet, candidates, moment)
    for part in locality.order(parts):
        candidates.accepts_any_worker = _accepts_any_worker(part, fleet, now)
        if _has_no_place(part, unplaced, candidates):
            continue
        if not _is_due(part, fleet, now):
            unplaced.append(part)
            continue
        yield from _start_offered(part, locality)
        if not locality.holds(part) and _waits_for_room(part, candidates):
            unplaced.append(part)
            fleet.refused_at_by_part[part.name] = now
        else:
            fleet.refused_at_by_part.pop(part.name, None)


def _has_no_place(
    part: Part, unplaced: list[Part], candidates: Candidates
) -> bool:
    if candidates.accepts_any_worker:
        return False
    return any(has_no_chance(part, each) for each in unplaced)


def _start_offered(part: Part, locality: LocalityRound) -> Iterator[StartRun]:
    for candidates in locality.offer(part):
        yield from _start_part(part, candidates)


def _accepts_any_worker(part: Part, fleet: Fleet, now: float) -> bool:
    """Return whether a task of an idle job starts at any pace."""
    if idle_seconds(fleet, part.job, now) >= MAX_IDLE_SECONDS:
        return True
    return lacks_place(fleet, part.job, now)


def _is_due(part: Part, fleet: Fleet, now: float) -> bool:
    """Return whether to look for workers for a part.

    Made for a full queue, in which each end of a run leads to a plan: a filling
    part that found no worker waits a moment for room to gather.
    """
    refused_at = fleet.refused_at_by_part.get(part.name)
    if refused_at is None or not part.step.fills:
        return True
    return now >= refused_at + REFUSED_PART_SECONDS


def _waits_for_room(part: Part, candidates: Candidates) -> bool:
    """Return whether ordinary tasks wait that no open order holds back."""
    if not _has_ordinary(part):
        return False
    held = [
        task.name in candidates.bound_tasks
        for task in part.waiting_by_name.values()
        if not task.is_suspect
    ]
    return not any(held) if part.step.gang else not all(held)


def _start_part(part: Part, candidates: Candidates) -> Iterator[StartRun]:
    if part.step.gang:
        yield from start_gang(part, candidates)
        return
    tasks = [
        task
        for task in part.waiting_by_name.values()
        if not task.is_suspect and may_start(task, candidates)
    ]
    if not tasks:
        return
    ranking = create_ranking(part, candidates)
    for task in tasks:
        worker = ranking.choose(task)
        if worker is None and task.name not in candidates.bound_tasks:
            return
        if worker is None:
            continue
        yield create_start(task, worker, task.run + 1)
        if candidates.accepts_any_worker:
            # An order is on its way; the job is idle again if nothing begins.
            candidates.accepts_any_worker = False
            ranking = create_ranking(part, candidates)
        else:
            ranking.record_start(worker)


def _has_ordinary(part: Part) -> bool:
    """Return whether waiting tasks may start beside others.

    A gang waits for its suspects, which ``isolation/suspects.py`` places.
    """
    tasks = part.waiting_by_name.values()
    if part.step.gang:
        return bool(tasks) and not any(task.is_suspect for task in tasks)
    return not all(task.is_suspect for task in tasks)

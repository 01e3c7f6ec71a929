"""Placing of suspects: each alone among the unproven runs of its worker.

A task that is suspected of crashing workers starts only on a worker whose other
runs are proven, and nothing else starts there until it is proven too or has
ended. A crash then tells which task it was. Workers are reserved for suspects
that wait, but a part of each service is left to all others.

Their turns are by age, but of one crash the newest start comes first, as it is
the likeliest cause. Those whose turn takes too long start together on few
workers; see ``turns.py``.
"""

from collections.abc import Iterable, Iterator

from wasabiturn.batch.crashes.proofs import SLOW_PROOF_SECONDS, is_proven
from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.isolation.gangs import start_isolated_gang
from wasabiturn.batch.isolation.room import IsolationRoom, create_room
from wasabiturn.batch.isolation.state import IsolationState
from wasabiturn.batch.isolation.turns import may_share, turn_key
from wasabiturn.batch.placing.candidates import Candidates, create_start
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import StartRun
from wasabiturn.messages.kinds import BatchTaskState

# After this time other runs start beside a suspect whose order is unanswered.
MAX_ISOLATION_SECONDS = 5.0


def find_isolating_workers(
    batch_state: BatchState, fleet: Fleet, now: float
) -> list[Worker]:
    """Return the workers with a suspect that isn't proven yet, each once."""
    workers = {
        (worker.name, worker.born_ms): worker
        for task in batch_state.suspects_by_name.values()
        if task.state is BatchTaskState.active
        and (worker := fleet.worker_of(task)) is not None
        and _is_isolated(worker.allocations_by_task.get(task.name), now)
    }
    return list(workers.values())


def start_suspects(
    batch_state: BatchState,
    fleet: Fleet,
    candidates: Candidates,
    moment: Moment,
) -> Iterator[StartRun]:
    """Yield starts of suspects; reserve workers for those that must wait.

    Removes the workers from ``candidates`` that take no other new runs.
    """
    if not batch_state.suspects_by_name:
        fleet.isolation.forget_all()
        return
    isolating = find_isolating_workers(batch_state, fleet, moment.now)
    waiting = _list_waiting(batch_state, fleet.isolation, moment)
    reserved: set[tuple[str, int]] = set()
    taken: list[Worker] = list(isolating)
    tasks_by_service = _group_by_service(waiting)
    rooms_by_service = {
        name: create_room(name, candidates, isolating, fleet, moment)
        for name in tasks_by_service
    }
    fleet.isolation.follow_shared(
        ((each.name, each.born_ms) for each in isolating),
        batch_state.suspects_by_name,
    )
    fleet.isolation.follow_turns(
        _list_sharing(tasks_by_service, rooms_by_service), moment.now
    )
    for service_name, tasks in tasks_by_service.items():
        room = rooms_by_service[service_name]
        yield from _start_waiting(tasks, room)
        taken.extend(room.isolating)
        reserved |= room.reserve(tasks)
    fleet.isolation.reserved = reserved
    fleet.isolation.follow_withheld(bool(taken or reserved), moment.now)
    candidates.workers = [
        worker
        for worker in candidates.workers
        if worker not in taken and (worker.name, worker.born_ms) not in reserved
    ]


def _start_waiting(
    tasks: list[Task], room: IsolationRoom
) -> Iterator[StartRun]:
    overdue = [task for task in tasks if room.is_overdue(task)]
    yield from _start_overdue(overdue, room)
    seen_gangs: set[str] = set()
    for task in tasks:
        if task.step.gang:
            if task.part.name not in seen_gangs:
                seen_gangs.add(task.part.name)
                yield from start_isolated_gang(task.part, room)
        elif task.state is BatchTaskState.waiting and room.may_isolate():
            yield from _start_alone(task, room)


def _start_alone(task: Task, room: IsolationRoom) -> Iterator[StartRun]:
    worker = room.choose(task)
    if worker is not None:
        room.isolating.append(worker)
        yield create_start(task, worker, task.run + 1)


def _start_overdue(
    tasks: list[Task], room: IsolationRoom
) -> Iterator[StartRun]:
    """Yield starts of overdue suspects, several on a worker if need be."""
    for task in tasks:
        worker = room.choose_shared(task)
        if worker is not None:
            yield create_start(task, worker, task.run + 1)


def _list_sharing(
    tasks_by_service: dict[str, list[Task]],
    rooms_by_service: dict[str, IsolationRoom],
) -> Iterator[str]:
    """Yield the waiting suspects that may share a worker with others."""
    for service_name, tasks in tasks_by_service.items():
        room = rooms_by_service[service_name]
        for task in tasks:
            if may_share(task) and room.has_worker(task):
                yield task.name


def _list_waiting(
    batch_state: BatchState, isolation: IsolationState, moment: Moment
) -> list[Task]:
    """Return the suspects that may start now, in the order of their turns."""
    waiting = [
        task
        for task in batch_state.suspects_by_name.values()
        if task.state is BatchTaskState.waiting
        and task.name not in isolation.held_tasks
        and task.part.due_ms <= moment.wall_ms
        and task.part.is_ready()
    ]
    waiting.sort(key=lambda task: turn_key(task, isolation))
    return waiting


def _group_by_service(tasks: Iterable[Task]) -> dict[str, list[Task]]:
    tasks_by_service: dict[str, list[Task]] = {}
    for task in tasks:
        service_name = task.job.accepted.terms.service_name
        tasks_by_service.setdefault(service_name, []).append(task)
    return tasks_by_service


def _is_isolated(allocation: Allocation | None, now: float) -> bool:
    if allocation is None or is_proven(allocation, now):
        return False
    if allocation.confirmed_at is None:
        return now < allocation.started_at + MAX_ISOLATION_SECONDS
    return now < allocation.confirmed_at + SLOW_PROOF_SECONDS

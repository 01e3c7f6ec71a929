"""Placing of suspects: each alone among the unproven runs of its worker.

A task that is suspected of crashing workers starts only on a worker whose other
runs are proven, and nothing else starts there until it is proven too or has
ended. A crash then tells which task it was. Workers are reserved for suspects
that wait, but a part of each service is left to all others.
"""

from collections.abc import Iterable, Iterator
from typing import final

import attrs

from wasabiturn.batch.crashes import SLOW_PROOF_SECONDS, is_proven
from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.gangs import fit_all, start_gang
from wasabiturn.batch.isolation_state import IsolationState
from wasabiturn.batch.jobs import Part, Task
from wasabiturn.batch.ordering import Moment
from wasabiturn.batch.placing import (
    UNSUITABLE,
    Candidates,
    can_take,
    count_by_worker,
    score_worker,
)
from wasabiturn.batch.state import BatchState
from wasabiturn.messages.batch import StartRun
from wasabiturn.messages.kinds import BatchTaskState

# Share of the workers of a service that suspects use or reserve at a time.
MAX_SHARE_OF_WORKERS = 0.5
# After this time other runs start beside a suspect whose order is unanswered.
MAX_ISOLATION_SECONDS = 5.0
# A gang whose suspects found no workers of their own starts anyhow.
MAX_GANG_WAIT_SECONDS = 3.0
# Running time for which a run is charged at most: lasting tasks start anew, and
# others with checkpoints resume.
LASTING_LOSS_SECONDS = 30.0
CHECKPOINT_LOSS_SECONDS = 2.0
_MILLI = 1000


def find_isolating_workers(
    batch_state: BatchState, fleet: Fleet, now: float
) -> list[Worker]:
    """Return the workers with a suspect that isn't proven yet."""
    return [
        worker
        for task in batch_state.suspects_by_name.values()
        if task.state is BatchTaskState.active
        and (worker := fleet.worker_of(task)) is not None
        and _is_isolated(worker.allocations_by_task.get(task.name), now)
    ]


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
    for service_name, tasks in _group_by_service(waiting).items():
        room = _create_room(service_name, candidates, isolating, fleet, moment)
        yield from _start_waiting(tasks, room)
        taken.extend(room.isolating)
        reserved |= room.reserve(tasks)
    fleet.isolation.reserved = reserved
    candidates.workers = [
        worker
        for worker in candidates.workers
        if worker not in taken and (worker.name, worker.born_ms) not in reserved
    ]


@final
@attrs.define
class _Room:
    """Workers of one service, as far as suspects may use them."""

    workers: list[Worker]
    candidates: Candidates
    isolation: IsolationState
    moment: Moment
    isolating: list[Worker]

    def may_isolate(self, members: int = 1) -> bool:
        """Return whether enough workers are left to all others."""
        return len(self.isolating) + members <= self._max_workers()

    def list_free(self) -> list[Worker]:
        """Return the workers whose runs are all proven."""
        return [
            worker
            for worker in self.workers
            if worker not in self.isolating and not self._unproven(worker)
        ]

    def choose(self, task: Task) -> Worker | None:
        """Return the free worker on which a suspect would cost the least."""
        counts = count_by_worker(task.part)
        suitable = [
            worker
            for worker in self.list_free()
            if can_take(task.part, worker, counts)
        ]
        return min(
            suitable,
            key=lambda worker: self._cost(task, worker, counts),
            default=None,
        )

    def reserve(self, tasks: list[Task]) -> set[tuple[str, int]]:
        """Return the workers to reserve for the suspects that still wait."""
        waiting = [
            task for task in tasks if task.state is BatchTaskState.waiting
        ]
        left = self._max_workers() - len(self.isolating)
        wanted = max(min(len(waiting), left), 0)
        if not wanted:
            return set()
        ranked = sorted(
            (each for each in self.workers if each not in self.isolating),
            key=lambda worker: self._reservation_key(waiting[0], worker),
        )
        return {(each.name, each.born_ms) for each in ranked[:wanted]}

    def _max_workers(self) -> int:
        return max(int(len(self.workers) * MAX_SHARE_OF_WORKERS), 1)

    def _unproven(self, worker: Worker) -> int:
        return sum(
            not is_proven(allocation, self.moment.now)
            for allocation in worker.allocations_by_task.values()
        )

    def _cost(
        self, task: Task, worker: Worker, counts: dict[str, int]
    ) -> tuple[bool, float]:
        step = task.step
        score = score_worker(task.part, worker, self.candidates, counts)
        cost = _lost_work(worker, self.moment.now)
        if step.preferred_rack and step.preferred_rack != worker.report.rack:
            cost += step.millicores * step.estimate_ms / _MILLI
        return score == UNSUITABLE, cost

    def _reservation_key(
        self, task: Task, worker: Worker
    ) -> tuple[bool, bool, int, float]:
        """Return the sort key of a worker to reserve; the best is lowest."""
        incarnation = (worker.name, worker.born_ms)
        fits = can_take(task.part, worker, count_by_worker(task.part))
        return (
            incarnation not in self.isolation.reserved,
            not fits,
            self._unproven(worker),
            _lost_work(worker, self.moment.now),
        )


def _create_room(
    service_name: str,
    candidates: Candidates,
    isolating: list[Worker],
    fleet: Fleet,
    moment: Moment,
) -> _Room:
    return _Room(
        workers=[
            worker
            for worker in candidates.workers
            if worker.report.service_name == service_name
        ],
        candidates=candidates,
        isolation=fleet.isolation,
        moment=moment,
        isolating=[
            worker
            for worker in isolating
            if worker.report.service_name == service_name
        ],
    )


def _start_waiting(tasks: list[Task], room: _Room) -> Iterator[StartRun]:
    seen_gangs: set[str] = set()
    for task in tasks:
        if task.step.gang:
            if task.part.name not in seen_gangs:
                seen_gangs.add(task.part.name)
                yield from _start_gang(task.part, room)
            continue
        if not room.may_isolate():
            continue
        worker = room.choose(task)
        if worker is not None:
            room.isolating.append(worker)
            yield _start(task, worker, task.run + 1)


def _start_gang(part: Part, room: _Room) -> Iterator[StartRun]:
    """Yield starts of all members, or none.

    Each suspect member gets a worker of its own, unless that takes too long.
    """
    members = part.open_tasks()
    if any(each.state is not BatchTaskState.waiting for each in members):
        return
    run = max(each.run for each in members) + 1
    placed = _place_gang(part, members, room)
    waits_since = room.isolation.waits_since_by_gang
    since = waits_since.setdefault(part.name, room.moment.now)
    if placed:
        waits_since.pop(part.name)
        for task, worker in placed:
            yield _start(task, worker, run)
    elif room.moment.now >= since + MAX_GANG_WAIT_SECONDS:
        workers = [each for each in room.workers if each not in room.isolating]
        free = attrs.evolve(room.candidates, workers=workers)
        yield from start_gang(part, free)


def _place_gang(
    part: Part, members: list[Task], room: _Room
) -> list[tuple[Task, Worker]]:
    suspects = [each for each in members if each.is_suspect]
    others = [each for each in members if not each.is_suspect]
    free = [worker for worker in room.list_free() if can_take(part, worker, {})]
    if len(free) < len(suspects) or not room.may_isolate(len(suspects)):
        return []
    free.sort(key=lambda worker: _lost_work(worker, room.moment.now))
    alone = free[: len(suspects)]
    rest = [
        worker
        for worker in room.workers
        if worker not in alone and worker not in room.isolating
    ]
    placed = fit_all(part.step, others, rest)
    if others and not placed:
        return []
    room.isolating.extend(alone)
    return [*zip(suspects, alone, strict=True), *placed]


def _start(task: Task, worker: Worker, run: int) -> StartRun:
    return StartRun(
        task=task.name,
        run=run,
        worker=worker.name,
        born_ms=worker.born_ms,
        agent=worker.agent,
    )


def _list_waiting(
    batch_state: BatchState, isolation: IsolationState, moment: Moment
) -> list[Task]:
    """Return the suspects that may start now, newest earlier start first."""
    waiting = [
        task
        for task in batch_state.suspects_by_name.values()
        if task.state is BatchTaskState.waiting
        and task.name not in isolation.held_tasks
        and task.part.due_ms <= moment.wall_ms
        and task.part.is_ready()
    ]
    waiting.sort(key=lambda task: isolation.rank(task.name), reverse=True)
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


def _lost_work(worker: Worker, now: float) -> float:
    """Return the work that a crash of the worker would lose, in core ms."""
    return sum(
        _lost_seconds(allocation, now) * allocation.task.step.millicores
        for allocation in worker.allocations_by_task.values()
    )


def _lost_seconds(allocation: Allocation, now: float) -> float:
    step = allocation.task.step
    if step.lasting:
        return LASTING_LOSS_SECONDS
    worked = now - allocation.started_at
    return min(worked, CHECKPOINT_LOSS_SECONDS) if step.checkpoints else worked

"""Workers of one service, as far as suspects may use them."""

from typing import final

import attrs

from wasabiturn.batch.crashes.proofs import SLOW_PROOF_SECONDS, is_proven
from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.isolation.state import IsolationState
from wasabiturn.batch.isolation.turns import is_overdue
from wasabiturn.batch.placing.candidates import (
    UNSUITABLE,
    Candidates,
    can_take,
    count_by_worker,
    may_start_at,
    score_worker,
)
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.kinds import BatchTaskState

# Share of the workers of a service that suspects use or reserve at a time.
MAX_SHARE_OF_WORKERS = 0.5
# Running time for which a run is charged at most: lasting tasks start anew, and
# others with checkpoints resume.
LASTING_LOSS_SECONDS = 30.0
CHECKPOINT_LOSS_SECONDS = 2.0
_MILLI = 1000


@final
@attrs.define
class IsolationRoom:
    """Workers of one service that suspects may use."""

    workers: list[Worker]
    candidates: Candidates
    isolation: IsolationState
    moment: Moment
    isolating: list[Worker]
    # What was computed in this plan; it holds for the charges of a worker.
    _unproven_by_state: dict[tuple[str, int, int], int] = attrs.field(
        factory=dict
    )
    _lost_by_state: dict[tuple[str, int, int], float] = attrs.field(
        factory=dict
    )

    def may_isolate(self, members: int = 1) -> bool:
        """Return whether enough workers are left to all others."""
        return len(self.isolating) + members <= self._max_workers()

    def list_free(self) -> list[Worker]:
        """Return the workers whose runs are all proven."""
        isolating = set(self.isolating)
        return [
            worker
            for worker in self.workers
            if worker not in isolating and not self._unproven(worker)
        ]

    def choose(self, task: Task) -> Worker | None:
        """Return the free worker on which a suspect would cost the least."""
        return self._choose_among(self.list_free(), task)

    def choose_shared(self, task: Task) -> Worker | None:
        """Return a free worker, or one where overdue suspects were started."""
        worker = None
        if self._may_isolate_overdue(task):
            worker = self._choose_among(self._list_untried(), task)
        if worker is None:
            return self._choose_among(self._list_shared(task), task)
        self.isolating.append(worker)
        key = (worker.name, worker.born_ms)
        self.isolation.is_lasting_by_shared[key] = task.step.lasting
        return worker

    def is_overdue(self, task: Task) -> bool:
        """Return whether a suspect shares a worker, as its turn takes long."""
        workers = len(self.workers)
        return is_overdue(task, self.isolation, workers, self.moment.now)

    def _list_shared(self, task: Task) -> list[Worker]:
        """Return the shared workers; lasting suspects are apart from others."""
        shared = self.isolation.is_lasting_by_shared
        return [
            worker
            for worker in self.workers
            if shared.get((worker.name, worker.born_ms)) is task.step.lasting
        ]

    def _list_untried(self) -> list[Worker]:
        """Return the workers whose runs are proven, or tried for long enough.

        A run with many crashes is proven long after others may join it.
        """
        isolating = set(self.isolating)
        return [
            worker
            for worker in self.workers
            if worker not in isolating and not self._is_tried(worker)
        ]

    def _is_tried(self, worker: Worker) -> bool:
        now = self.moment.now
        return any(
            not is_proven(each, now)
            and each.worked_seconds(now) < SLOW_PROOF_SECONDS
            for each in worker.allocations_by_task.values()
        )

    def _may_isolate_overdue(self, task: Task) -> bool:
        """Return whether an overdue suspect may have a worker of its own.

        Lasting suspects, and others, may have one more than half of the
        workers, so that they wait for no other suspect; one is left to all
        others.
        """
        most = self._max_workers()
        if len(self.isolating) >= max(len(self.workers) - 1, most):
            return False
        shared = self.isolation.is_lasting_by_shared
        of_other_kind = sum(
            shared.get((worker.name, worker.born_ms), task.step.lasting)
            is not task.step.lasting
            for worker in self.isolating
        )
        return len(self.isolating) - of_other_kind <= most

    def has_worker(self, task: Task) -> bool:
        """Return whether a suspect could start at a worker with room."""
        return any(self._may_have(task, worker) for worker in self.workers)

    def _choose_among(self, workers: list[Worker], task: Task) -> Worker | None:
        counts = count_by_worker(task.part)
        suitable = [
            worker
            for worker in workers
            if can_take(task.part, worker, counts)
            and may_start_at(task, worker, self.candidates)
        ]
        return min(
            suitable,
            key=lambda worker: self._cost(task, worker, counts),
            default=None,
        )

    def reserve(self, tasks: list[Task]) -> set[tuple[str, int]]:
        """Return the workers to reserve for the suspects that still wait."""
        waiting = [
            task
            for task in tasks
            if task.state is BatchTaskState.waiting and self.has_worker(task)
        ]
        left = self._max_workers() - len(self.isolating)
        wanted = max(min(len(waiting), left), 0)
        if not wanted:
            return set()
        ranked = sorted(
            (
                each
                for each in self.workers
                if each not in self.isolating
                and self._may_have(waiting[0], each)
            ),
            key=lambda worker: self._reservation_key(waiting[0], worker),
        )
        return {(each.name, each.born_ms) for each in ranked[:wanted]}

    def _may_have(self, task: Task, worker: Worker) -> bool:
        """Return whether a suspect could start there once there is room."""
        step = task.step
        report = worker.report
        if step.required_label and step.required_label not in report.labels:
            return False
        return (
            (step.fills or step.millicores <= report.millicores)
            and step.memory_mb <= report.memory_mb
            and step.accelerators <= report.accelerators
            and may_start_at(task, worker, self.candidates)
        )

    def _max_workers(self) -> int:
        return max(int(len(self.workers) * MAX_SHARE_OF_WORKERS), 1)

    def _unproven(self, worker: Worker) -> int:
        key = (worker.name, worker.born_ms, worker.charges)
        if key not in self._unproven_by_state:
            self._unproven_by_state[key] = sum(
                not is_proven(allocation, self.moment.now)
                for allocation in worker.allocations_by_task.values()
            )
        return self._unproven_by_state[key]

    def lost_work(self, worker: Worker) -> float:
        """Return the work that a crash would lose, in core milliseconds."""
        key = (worker.name, worker.born_ms, worker.charges)
        if key not in self._lost_by_state:
            self._lost_by_state[key] = _lost_work(worker, self.moment.now)
        return self._lost_by_state[key]

    def _cost(
        self, task: Task, worker: Worker, counts: dict[str, int]
    ) -> tuple[bool, bool, float]:
        step = task.step
        score = score_worker(task.part, worker, self.candidates, counts)
        cost = self.lost_work(worker)
        if step.preferred_rack and step.preferred_rack != worker.report.rack:
            cost += step.millicores * step.estimate_ms / _MILLI
        has_crashed = worker.agent in task.crash_agents
        return score == UNSUITABLE, has_crashed, cost

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
            self.lost_work(worker),
        )


def create_room(
    service_name: str,
    candidates: Candidates,
    isolating: list[Worker],
    fleet: Fleet,
    moment: Moment,
) -> IsolationRoom:
    """Return the workers of a service, and which have a suspect already."""
    return IsolationRoom(
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


def _lost_work(worker: Worker, now: float) -> float:
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

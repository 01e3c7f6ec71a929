"""An idle job beside room starts a task, or each waits for a named reason.

The reasons are those that keep a task from two runs, a crash of its worker from
being put down to another one, and a task from its last attempt.
"""

from random import Random
from typing import Any

import pytest

from tests.batch.jobs_fakes import (
    ACCEPTED_MS,
    accept,
    add_run,
    create_batch_state,
    create_fleet,
    create_worker,
    start,
    step,
)
from tests.batch.test_decisions import create_known_interference, plan
from wasabiturn.batch import apply_batch_change
from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.placing.acceptance import accepts_work
from wasabiturn.batch.placing.avoidance import LASTING_AVOIDANCE_SECONDS
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.queueing.progress import MAX_IDLE_SECONDS, idle_seconds
from wasabiturn.batch.state.jobs import Task

SEEDS = 400
NOW = 10.0
# A job that is idle waits for the answer of its newest order for a moment.
IDLE_SINCE = NOW - 2 * MAX_IDLE_SECONDS
ATTEMPTS = 2


class Case:
    """Workers in all states, other jobs, and the job `j` that is idle."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.workers = [self._draw_worker(f'w{n}') for n in range(6)]
        self.fleet = create_fleet(*self.workers)
        self.batch_state = create_batch_state(
            *(accept(f'k{n}', self._draw_step()) for n in range(3)),
            accept('j', self._draw_step(), attempts=ATTEMPTS),
        )
        self.job = self.batch_state.jobs_by_id['j']
        self._add_lasting_runs()
        self.batch_state.on_start = self._allocate
        for task in list(self.job.tasks_by_name.values()):
            self._draw_task(task)
        idle_seconds(self.fleet, self.job, IDLE_SINCE)

    def _draw_worker(self, name: str) -> Worker:
        random = self.random
        worker = create_worker(
            name,
            memory_mb=random.choice((500, 2000, 10_000)),
            leaving=random.random() < 0.2,
        )
        worker.heard_at = NOW - random.choice((0.1, 0.5, 1.0, 1.5, 2.0, 9.0))
        worker.listed_at = IDLE_SINCE
        worker.is_gone = random.random() < 0.1
        if random.random() < 0.4:
            worker.avoided_since = NOW - random.choice((0.5, 2.5, 6.0))
            worker.avoided_until = NOW + random.choice((-1, 5))
        return worker

    def _draw_step(self) -> Any:
        random = self.random
        fields: dict[str, Any] = {
            'millicores': random.choice((500, 3000, 5000)),
            'memory_mb': random.choice((100, 400, 1500)),
        }
        if random.random() < 0.6:
            fields |= {'fills': True, 'image': 'f'}
        return step(random.randint(1, 6), **fields)

    def _add_lasting_runs(self) -> None:
        """Have lasting tasks run beside which a filling image is paced low."""
        for number, worker in enumerate(self.workers):
            if self.random.random() < 0.5:
                lasting = step(
                    lasting=True, image='s', millicores=2000, tail_goal_ms=100
                )
                state = create_batch_state(accept(f's{number}', lasting))
                (task,) = state.tasks_by_name.values()
                add_run(worker, task, figure=95)

    def _allocate(self, task: Task) -> None:
        worker = self.fleet.worker_of(task)
        assert worker is not None
        worker.allocate(task, IDLE_SINCE)

    def _draw_task(self, task: Task) -> None:
        """Give a task an earlier run, or one that is only assumed to go on."""
        random = self.random
        worker = random.choice(self.workers)
        task.failures = random.choice((0, 0, ATTEMPTS - 1))
        kind = random.choice(('new', 'new', 'assumed', 'bound', 'suspect'))
        if kind == 'assumed':
            apply_batch_change(
                self.batch_state, start(task.name, worker=worker.name)
            )
        elif kind == 'bound':
            task.worker, task.run, task.is_bound = worker.name, 1, True
            self.fleet.bound_until_by_task[task.name] = NOW + 5
        elif kind == 'suspect':
            self.batch_state.mark_suspect(task)

    def has_named_reason(self, task: Task, worker: Worker) -> bool:
        """Return whether a task must not start at a worker with room."""
        if task.is_suspect or task.is_bound:
            return True
        if (worker.name, worker.born_ms) in self.fleet.isolation.reserved:
            return True
        if self._isolates(worker):
            return True
        if worker.avoided_until <= NOW:
            return False
        has_just_failed = worker.avoided_since + LASTING_AVOIDANCE_SECONDS > NOW
        is_last_attempt = task.failures + 1 >= ATTEMPTS
        return has_just_failed or is_last_attempt or self._took_task(worker)

    def _isolates(self, worker: Worker) -> bool:
        return any(
            allocation.task.is_suspect
            for allocation in worker.allocations_by_task.values()
        )

    def _took_task(self, worker: Worker) -> bool:
        """Return whether an avoided worker got its one task in this plan."""
        return any(
            allocation.started_at == NOW
            for allocation in worker.allocations_by_task.values()
        )

    def has_room_twice_over(self, task: Task, worker: Worker) -> bool:
        if not accepts_work(worker, self.batch_state, NOW):
            return False
        millicores = 0 if task.step.fills else 2 * task.step.millicores
        return worker.has_room(millicores, 2 * task.step.memory_mb, 0)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_idle_job_beside_room_starts_unless_a_named_reason_holds(
    seed: int,
) -> None:
    case = Case(seed)
    started = plan(
        case.batch_state,
        case.fleet,
        Moment(now=NOW, wall_ms=ACCEPTED_MS),
        create_known_interference(f=9),
    )
    if any(name.startswith('j.') for name in started):
        return
    unexplained = [
        (task.name, worker.name)
        for part in case.job.parts_by_key.values()
        for task in part.waiting_by_name.values()
        for worker in case.workers
        if case.has_room_twice_over(task, worker)
        and not case.has_named_reason(task, worker)
    ]
    assert not unexplained


def test_most_cases_have_room_and_a_task_that_may_start() -> None:
    starts = 0
    for seed in range(SEEDS):
        case = Case(seed)
        moment = Moment(now=NOW, wall_ms=ACCEPTED_MS)
        started = plan(
            case.batch_state, case.fleet, moment, create_known_interference(f=9)
        )
        starts += any(name.startswith('j.') for name in started)
    assert starts > SEEDS / 2

"""Builders of jobs, workers and batch states for unit tests."""

from typing import Any

from wasabiturn.batch import BatchState, apply_batch_change
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import (
    AcceptJob,
    BatchChange,
    EndRun,
    JobDeclaration,
    RunningRow,
    StartRun,
    Step,
    Terms,
    WorkerReport,
)
from wasabiturn.messages.kinds import RunEnding

ACCEPTED_MS = 1_000_000


def step(tasks: int = 1, **fields: Any) -> Step:
    sizes = {'millicores': 1000, 'memory_mb': 100, 'estimate_ms': 1000}
    return Step(tasks=tasks, **(sizes | fields))


def accept(
    job_id: str,
    *steps: Step,
    accepted_ms: int = ACCEPTED_MS,
    attempts: int = 2,
) -> BatchChange:
    declaration = JobDeclaration(
        job_id=job_id,
        queue='queue',
        payload='p',
        steps=list(steps),
    )
    terms = Terms(
        service_name='service',
        attempts=attempts,
        stretch=2,
        slack_ms=500,
    )
    accepted = AcceptJob(
        declaration=declaration,
        terms=terms,
        accepted_ms=accepted_ms,
    )
    return BatchChange(accepts=[accepted])


def create_batch_state(*changes: BatchChange) -> BatchState:
    batch_state = BatchState()
    for change in changes:
        apply_batch_change(batch_state, change)
    return batch_state


def start(
    task: str, run: int = 1, worker: str = 'w', agent: str = 'a'
) -> BatchChange:
    begun = StartRun(task=task, run=run, worker=worker, born_ms=1, agent=agent)
    return BatchChange(starts=[begun])


def end(
    task: str,
    run: int = 1,
    ending: RunEnding = RunEnding.done,
    checkpoint: str = '',
) -> BatchChange:
    ended = EndRun(task=task, run=run, ending=ending, checkpoint=checkpoint)
    return BatchChange(ends=[ended])


def create_worker(name: str, **fields: Any) -> Worker:
    report = WorkerReport(
        worker=name,
        born_ms=1,
        service_name='service',
        data_centre='dc',
        rack='r1',
        labels=['a', 'r1'],
        millicores=10_000,
        memory_mb=10_000,
        listed=True,
    )
    for field, content in fields.items():
        setattr(report, field, content)
    return Worker(
        name=name,
        born_ms=1,
        report=report,
        heard_at=0,
        is_reconciled=True,
    )


def create_fleet(*workers: Worker) -> Fleet:
    fleet = Fleet(fence=1)
    for worker in workers:
        fleet.workers_by_incarnation[worker.name, worker.born_ms] = worker
    return fleet


def add_run(worker: Worker, task: Task, figure: float = 0) -> None:
    """Have ``worker`` run ``task`` and report ``figure`` for it."""
    task.run = task.run or 1
    worker.allocate(task, now=0)
    row = RunningRow(task=task.name, run=task.run, percent=100, figure=figure)
    worker.allocations_by_task[task.name].row = row
    worker.allocations_by_task[task.name].settle_orders()

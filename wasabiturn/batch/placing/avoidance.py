"""Workers with failures, which lasting tasks return to sooner than others.

A worker where run after run fails gets no new tasks for a time that grows. A
lasting task may fail at any time, which tells little of its worker, and hardly
ever ends well, which would end the count.

A job that runs nothing starts one task there if no other worker takes it: all
workers may be avoided for the failures of other jobs. It spends no task's last
attempt on that.
"""

from collections.abc import Iterable, Iterator

import attrs

from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.placing.acceptance import accepts_work
from wasabiturn.batch.placing.candidates import (
    Candidates,
    choose_worker,
    create_start,
    may_start,
)
from wasabiturn.batch.queueing.ordering import Moment, list_due_parts
from wasabiturn.batch.queueing.progress import MAX_IDLE_SECONDS, idle_seconds
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Job, Task
from wasabiturn.messages.batch import StartRun

# After the newest failure.
LASTING_AVOIDANCE_SECONDS = 2.0


def find_avoided_candidates(
    candidates: Candidates, workers: Iterable[Worker], batch_state: BatchState
) -> Candidates:
    """Return the workers with failures that lasting tasks and idle jobs use."""
    now = candidates.now
    accepting = [
        worker
        for worker in workers
        if worker.avoided_since + LASTING_AVOIDANCE_SECONDS
        <= now
        < worker.avoided_until
        and accepts_work(worker, batch_state, now)
    ]
    return attrs.evolve(candidates, workers=accepting)


def start_idle(
    batch_state: BatchState, fleet: Fleet, avoided: Candidates, moment: Moment
) -> Iterator[StartRun]:
    """Yield a start for each idle job, one at most for each avoided worker."""
    free = attrs.evolve(avoided, workers=list(avoided.workers))
    free.accepts_any_worker = True
    for job in _list_idle(batch_state, fleet, moment):
        for task in _list_tasks_to_try(job, free, moment):
            worker = choose_worker(task, free)
            if worker is not None:
                free.workers.remove(worker)
                yield create_start(task, worker, task.run + 1)
                break


def _list_idle(
    batch_state: BatchState, fleet: Fleet, moment: Moment
) -> list[Job]:
    """Return the jobs that run nothing, the longest idle first."""
    latest = moment.now - MAX_IDLE_SECONDS
    since_by_job = fleet.idle.since_by_job
    jobs = [
        job
        for job_id, since in since_by_job.items()
        if since <= latest
        and (job := batch_state.open_jobs_by_id.get(job_id)) is not None
        and job.waiting_tasks
        and idle_seconds(fleet, job, moment.now) >= MAX_IDLE_SECONDS
    ]
    return sorted(jobs, key=lambda job: since_by_job[job.job_id])


def _list_tasks_to_try(
    job: Job, avoided: Candidates, moment: Moment
) -> list[Task]:
    """Return a task of each step that may start, and fail once more."""
    tasks: list[Task] = []
    for part in list_due_parts(job, moment):
        to_try = [
            task
            for task in part.waiting_by_name.values()
            if not task.is_suspect
            and _has_attempts_to_spare(task)
            and may_start(task, avoided)
        ]
        if to_try and not part.step.gang:
            tasks.append(min(to_try, key=lambda task: task.failures))
    return tasks


def _has_attempts_to_spare(task: Task) -> bool:
    return task.failures + 1 < task.job.accepted.terms.attempts

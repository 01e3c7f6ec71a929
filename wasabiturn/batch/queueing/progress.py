"""What the leader knows of the runs of a job, as opposed to what it assumes.

A run is known to work if its worker has confirmed it and was heard recently. A
run of a worker that is silent, was given up, or has not answered its order is
only assumed, and does not keep its job from being idle.
"""

from wasabiturn.batch.fleet import NEVER, Allocation, Fleet, Worker
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.clock import StateClock
from wasabiturn.batch.state.jobs import Job, Task
from wasabiturn.messages.kinds import BatchTaskState

# Agents report at least each second, and a report answers a start.
START_ANSWER_SECONDS = 1.3
# A job with no run known to work for longer accepts any worker with room.
MAX_IDLE_SECONDS = 2.0
# A run that was listed so recently is known to work.
FRESH_LIST_SECONDS = 1.3
# The first workers to report to a new leader aren't the best for each task.
FIRST_REPORTS_SECONDS = 0.5


def restore_idle_times(
    fleet: Fleet, batch_state: BatchState, state_clock: StateClock, now: float
) -> None:
    """Take over since when jobs with waiting tasks may have been idle.

    Their runs that go on are known again with the first reports. Occurrences of
    a periodic job begin to wait when they are due.
    """
    latest = now + FIRST_REPORTS_SECONDS - MAX_IDLE_SECONDS
    for job in batch_state.open_jobs_by_id.values():
        is_periodic = job.accepted.declaration.occurrences > 0
        if job.idle_since_ms and job.waiting_tasks and not is_periodic:
            since = state_clock.to_loop(job.idle_since_ms, now)
            fleet.idle.since_by_job[job.job_id] = min(max(since, latest), now)


def idle_seconds(fleet: Fleet, job: Job, now: float) -> float:
    """Return for how long no run of a job has been known to work.

    It is 0 while an order to start one is on its way for a moment, so that no
    more than needed is started instead.
    """
    since_by_job = fleet.idle.since_by_job
    since = since_by_job.get(job.job_id, now)
    since = max(since, last_known_at(fleet, job, now))
    since_by_job[job.job_id] = since
    return now - since if runs_nothing(fleet, job, now) else 0


def runs_nothing(fleet: Fleet, job: Job, now: float) -> bool:
    """Return whether no run of a job is known to work, or on its way."""
    if now < last_known_at(fleet, job, now) + FRESH_LIST_SECONDS:
        return False
    return not _awaits_start(fleet, job, now)


def record_end(fleet: Fleet, worker: Worker, allocation: Allocation) -> None:
    """Record until when a run was known to work that has ended."""
    if allocation.confirmed_at is None:
        return
    since_by_job = fleet.idle.since_by_job
    job_id = allocation.task.job.job_id
    worked_until = max(worker.listed_at, allocation.confirmed_at)
    since_by_job[job_id] = max(since_by_job.get(job_id, NEVER), worked_until)


def last_known_at(fleet: Fleet, job: Job, now: float) -> float:
    """Return when a run of a job was last known to work, ``NEVER`` if none."""
    known = fleet.idle.known_task_by_job.get(job.job_id)
    newest = NEVER if known is None else known_at(fleet, known)
    if now < newest + FRESH_LIST_SECONDS:
        return newest
    for task in job.active_by_name.values():
        at = known_at(fleet, task)
        if at > newest:
            newest = at
            fleet.idle.known_task_by_job[job.job_id] = task
    return newest


def known_at(fleet: Fleet, task: Task) -> float:
    """Return when the run of a task was last known to work."""
    worker = fleet.worker_of(task)
    if worker is None or task.state is not BatchTaskState.active:
        return NEVER
    allocation = worker.allocations_by_task.get(task.name)
    if allocation is None or _is_over(worker, allocation):
        return NEVER
    if not allocation.is_confirmed or allocation.confirmed_at is None:
        return NEVER
    return max(worker.listed_at, allocation.confirmed_at)


def _awaits_start(fleet: Fleet, job: Job, now: float) -> bool:
    """Return whether an order of a moment ago may yet start a run."""
    return any(
        _is_on_its_way(fleet, task, now) for task in job.active_by_name.values()
    )


def _is_on_its_way(fleet: Fleet, task: Task, now: float) -> bool:
    worker = fleet.worker_of(task)
    allocation = worker and worker.allocations_by_task.get(task.name)
    if worker is None or allocation is None or _is_over(worker, allocation):
        return False
    is_recent = now < allocation.started_at + START_ANSWER_SECONDS
    return is_recent and not allocation.is_confirmed


def _is_over(worker: Worker, allocation: Allocation) -> bool:
    """Return whether a run is to end, or is held to be lost."""
    return (
        worker.is_gone or worker.is_superseded or allocation.is_stop_requested
    )

"""Application of batch changes to the replicated batch state.

Deterministic: the same changes give the same state on each replica. Each part
of a change checks the run that it names, so a repeated change has no effect.
"""

from wasabiturn.batch.crashes.suspicions import (
    clear_task,
    count_crash,
    give_up_task,
)
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Task, create_job
from wasabiturn.batch.state.limit_changes import forget_limits, move_limits
from wasabiturn.batch.state.run_ends import end_passed_run, finish_or_requeue
from wasabiturn.messages.batch import (
    AcceptJob,
    BatchChange,
    DataCentreMark,
    EndRun,
    OverdueStart,
    Routing,
    SettledStart,
    StartRun,
)
from wasabiturn.messages.kinds import BatchTaskState, JobState, RunEnding

# A run with one of these may have stopped working long before.
_UNHEARD_ENDINGS = frozenset((RunEnding.lost, RunEnding.not_started))


def apply_batch_change(batch_state: BatchState, change: BatchChange) -> None:
    """Apply one change, in the order of its fields."""
    if change == BatchChange():
        forget_limits(batch_state)
    batch_state.clock_ms = max(batch_state.clock_ms, change.clock_ms)
    if change.routing is not None:
        _apply_routing(batch_state, change.routing)
    for mark in change.marks:
        _mark_data_centre(batch_state, mark)
    for accepted in change.accepts:
        _accept_job(batch_state, accepted)
    for job_id in change.cancels:
        _cancel_job(batch_state, job_id)
    for end in change.ends:
        _end_run(batch_state, end)
    for start in change.starts:
        _start_run(batch_state, start)
    for settled in change.settled:
        _settle_start(batch_state, settled)
    for overdue in change.overdue:
        _mark_overdue(batch_state, overdue)
    move_limits(batch_state, change.limits)
    for job_id in change.forgets:
        _delete_job(batch_state, job_id)
    if change.pressures:
        batch_state.pressures = list(change.pressures)
    for give_up in change.give_ups:
        give_up_task(batch_state, give_up)
    for task_name in change.cleared:
        clear_task(batch_state, task_name)


def _apply_routing(batch_state: BatchState, routing: Routing) -> None:
    if (
        batch_state.routing is None
        or routing.version > batch_state.routing.version
    ):
        batch_state.routing = routing


def _mark_data_centre(batch_state: BatchState, mark: DataCentreMark) -> None:
    if mark.out:
        batch_state.out_data_centres.add(mark.data_centre)
    else:
        batch_state.out_data_centres.discard(mark.data_centre)


def _accept_job(batch_state: BatchState, accepted: AcceptJob) -> None:
    if accepted.declaration.job_id not in batch_state.jobs_by_id:
        job = create_job(accepted)
        job.idle_since_ms = batch_state.clock_ms
        batch_state.add_job(job)


def _cancel_job(batch_state: BatchState, job_id: str) -> None:
    job = batch_state.open_jobs_by_id.get(job_id)
    if job is not None:
        batch_state.close_job(job, JobState.cancelled)


def _delete_job(batch_state: BatchState, job_id: str) -> None:
    job = batch_state.jobs_by_id.get(job_id)
    if job is not None and job.is_final and not job.tasks_by_name:
        batch_state.forget_job(job)


def _start_run(batch_state: BatchState, start: StartRun) -> None:
    task = batch_state.tasks_by_name.get(start.task)
    if task is None or task.state is not BatchTaskState.waiting:
        return
    if start.run <= task.run and not task.is_resumed_by(start):
        return
    if start.worker != task.worker:
        task.is_bound = False
        task.bound_until_ms = 0
    task.is_settled = False
    task.orders_end_ms = 0
    task.has_overdue_order = False
    task.order_limit_ms = start.order_limit_ms
    task.run = start.run
    task.worker = start.worker
    task.born_ms = start.born_ms
    task.agent = start.agent
    if task.job.state is JobState.queued:
        task.job.state = JobState.running
    batch_state.begin_run(task)


def _settle_start(batch_state: BatchState, settled: SettledStart) -> None:
    task = batch_state.active_by_name.get(settled.task)
    if task is None or task.run != settled.run:
        return
    if settled.open_ms:
        task.orders_end_ms = batch_state.clock_ms + settled.open_ms
    else:
        task.is_settled = True


def _mark_overdue(batch_state: BatchState, overdue: OverdueStart) -> None:
    task = batch_state.active_by_name.get(overdue.task)
    if task is not None and task.run == overdue.run:
        task.has_overdue_order = True


def _end_run(batch_state: BatchState, end: EndRun) -> None:
    task = batch_state.tasks_by_name.get(end.task)
    if task is None or end.run > task.run:
        return
    is_newest = end.run == task.run
    if is_newest and task.state is BatchTaskState.active:
        if end.has_open_order:
            _bind(batch_state, task, end)
        batch_state.end_run(task)
    elif is_newest and _is_late_completion(task, end):
        task.job.waiting_tasks -= 1
    else:
        end_passed_run(batch_state, task, end)
        return
    if end.ending is not RunEnding.not_started:
        task.job.has_begun = True
    if end.ending not in _UNHEARD_ENDINGS:
        task.job.idle_since_ms = batch_state.clock_ms
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    count_crash(batch_state, task, end)
    if task.job.is_final:
        batch_state.drop_task(task)
    else:
        finish_or_requeue(batch_state, task, end)


def _bind(batch_state: BatchState, task: Task, end: EndRun) -> None:
    # Leaders of earlier versions did not tell for how long.
    is_unknown = not end.open_ms or (task.is_bound and not task.bound_until_ms)
    until_ms = max(task.bound_until_ms, batch_state.clock_ms + end.open_ms, 1)
    task.is_bound = True
    task.bound_until_ms = 0 if is_unknown else until_ms


def _is_late_completion(task: Task, end: EndRun) -> bool:
    """Return whether a run that was declared lost did complete."""
    is_waiting = task.state is BatchTaskState.waiting
    return is_waiting and end.ending is RunEnding.done and not task.step.lasting

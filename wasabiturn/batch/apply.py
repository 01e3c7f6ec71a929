"""Application of batch changes to the book.

Pure: the same changes give the same book on each replica. Each part of a
change is conditional on the run that it names, so what comes twice changes
nothing.
"""

from wasabiturn.batch.jobs import Job, Task, create_job
from wasabiturn.batch.state import BatchState
from wasabiturn.messages.batch import (
    AcceptJob,
    BatchChange,
    DataCentreMark,
    EndRun,
    Routing,
    StartRun,
)
from wasabiturn.messages.kinds import BatchTaskState, JobState, RunEnding


def apply_batch_change(batch_state: BatchState, change: BatchChange) -> None:
    """Apply one change, in the order of its fields."""
    if change.routing is not None:
        _put_routing(batch_state, change.routing)
    for mark in change.marks:
        _mark_data_centre(batch_state, mark)
    for accepted in change.accepts:
        _accept(batch_state, accepted)
    for job_id in change.cancels:
        _cancel(batch_state, job_id)
    for end in change.ends:
        _end(batch_state, end)
    for start in change.starts:
        _start(batch_state, start)
    for job_id in change.forgets:
        _forget(batch_state, job_id)
    if change.pressures:
        batch_state.pressures = list(change.pressures)


def _put_routing(batch_state: BatchState, routing: Routing) -> None:
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


def _accept(batch_state: BatchState, accepted: AcceptJob) -> None:
    if accepted.declaration.job_id not in batch_state.jobs_by_id:
        batch_state.add_job(create_job(accepted))


def _cancel(batch_state: BatchState, job_id: str) -> None:
    job = batch_state.open_jobs_by_id.get(job_id)
    if job is not None:
        batch_state.close_job(job, JobState.cancelled)


def _forget(batch_state: BatchState, job_id: str) -> None:
    job = batch_state.jobs_by_id.get(job_id)
    if job is not None and job.is_final and not job.tasks_by_name:
        batch_state.jobs_by_id.pop(job_id)


def _start(batch_state: BatchState, start: StartRun) -> None:
    task = batch_state.tasks_by_name.get(start.task)
    if task is None or start.run <= task.run:
        return
    if task.state is not BatchTaskState.waiting:
        return
    task.run = start.run
    task.worker = start.worker
    task.born_ms = start.born_ms
    task.agent = start.agent
    if task.job.state is JobState.queued:
        task.job.state = JobState.running
    batch_state.begin_run(task)


def _end(batch_state: BatchState, end: EndRun) -> None:
    task = batch_state.tasks_by_name.get(end.task)
    if task is None or task.run != end.run:
        return
    if task.state is BatchTaskState.active:
        batch_state.end_run(task)
    elif _ended_before_it_was_lost(task, end):
        task.job.waiting_tasks -= 1
    else:
        return
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    if task.job.is_final:
        batch_state.drop_task(task)
    else:
        _follow_up(batch_state, task, end)


def _ended_before_it_was_lost(task: Task, end: EndRun) -> bool:
    """Tell whether a run that was given up turns out to be done."""
    waits = task.state is BatchTaskState.waiting
    return waits and end.ending is RunEnding.done and not task.step.lasting


def _follow_up(batch_state: BatchState, task: Task, end: EndRun) -> None:
    if end.ending is RunEnding.done and not task.step.lasting:
        _finish(batch_state, task)
        return
    if end.ending is RunEnding.failed and not task.step.lasting:
        task.failures += 1
        if task.failures >= task.job.accepted.terms.attempts:
            _fail(batch_state, task)
            return
    task.state = BatchTaskState.waiting
    task.part.waiting_by_name[task.name] = task
    task.job.waiting_tasks += 1


def _finish(batch_state: BatchState, task: Task) -> None:
    task.mark_done()
    if task.step.gang:
        _finish_gang(batch_state, task)
    job = task.job
    if not any(part.left for part in job.parts_by_key.values()):
        batch_state.close_job(job, JobState.done)


def _finish_gang(batch_state: BatchState, task: Task) -> None:
    """Finish the other members: one end stands for all of them."""
    for other in list(task.job.tasks_by_name.values()):
        if other.part is not task.part or other.run != task.run:
            continue
        if other.state is BatchTaskState.active:
            batch_state.end_run(other)
            other.mark_done()


def _fail(batch_state: BatchState, task: Task) -> None:
    job: Job = task.job
    task.state = BatchTaskState.dropped
    batch_state.close_job(job, JobState.failed)

"""Conversion of the batch state to and from messages, and copies of it.

Messages are for snapshots, the copy for a leader, which plans ahead of the
committed state.
"""

from collections.abc import Iterator

from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import FINAL_STATES, Job, Task, create_job
from wasabiturn.messages.batch import BatchDump, JobRecord, TaskRecord
from wasabiturn.messages.kinds import BatchTaskState


def dump_batch_state(batch_state: BatchState) -> BatchDump:
    """Return the whole batch state as a message."""
    return BatchDump(
        routing=batch_state.routing,
        out_data_centres=sorted(batch_state.out_data_centres),
        jobs=[_dump_job(job) for job in batch_state.jobs_by_id.values()],
        pressures=list(batch_state.pressures),
        clock_ms=batch_state.clock_ms,
    )


def load_batch_state(dump: BatchDump) -> BatchState:
    """Return the batch state that ``dump`` holds."""
    batch_state = BatchState(
        routing=dump.routing,
        out_data_centres=set(dump.out_data_centres),
        pressures=list(dump.pressures),
        clock_ms=dump.clock_ms,
    )
    for record in dump.jobs:
        _load_job(batch_state, record)
    batch_state.sort_ended_jobs()
    return batch_state


def copy_in_slices(source: BatchState, target: BatchState) -> Iterator[None]:
    """Copy ``source`` to the empty ``target``, one job in each slice.

    ``source`` must not change meanwhile. Messages that nobody modifies, such
    as declarations, are shared.
    """
    target.routing = source.routing
    target.out_data_centres = set(source.out_data_centres)
    target.pressures = list(source.pressures)
    target.clock_ms = source.clock_ms
    for job in source.jobs_by_id.values():
        _load_job(target, _dump_job(job))
        yield
    target.sort_ended_jobs()


def _dump_job(job: Job) -> JobRecord:
    return JobRecord(
        accepted=job.accepted,
        state=job.state,
        ended_ms=job.ended_ms,
        idle_since_ms=None if job.is_final else job.idle_since_ms,
        tasks=[
            _dump_task(task)
            for task in job.tasks_by_name.values()
            if task.run or task.state is not BatchTaskState.waiting
        ],
    )


def _dump_task(task: Task) -> TaskRecord:
    return TaskRecord(
        name=task.name,
        state=task.state,
        run=task.run,
        worker=task.worker,
        born_ms=task.born_ms,
        failures=task.failures,
        checkpoint=task.checkpoint,
        agent=task.agent,
        is_bound=task.is_bound,
        is_settled=task.is_settled,
        is_completed=task.is_completed,
        failed_run=task.failed_run,
        crashes=task.crashes,
        is_suspect=task.is_suspect,
        late_crashes=task.late_crashes,
        worked_ms=task.worked_ms,
        crash_agents=list(task.crash_agents),
        bound_until_ms=task.bound_until_ms,
        orders_end_ms=task.orders_end_ms,
        has_overdue_order=task.has_overdue_order,
        order_limit_ms=task.order_limit_ms,
    )


def _load_job(batch_state: BatchState, record: JobRecord) -> None:
    if record.state in FINAL_STATES and not record.tasks:
        ended = Job(
            accepted=record.accepted,
            state=record.state,
            ended_ms=record.ended_ms,
        )
        batch_state.add_ended_job(ended)
        return
    job = create_job(record.accepted)
    job.idle_since_ms = record.idle_since_ms or 0
    batch_state.add_job(job)
    for task_record in record.tasks:
        _load_task(
            batch_state, job.tasks_by_name[task_record.name], task_record
        )
    if record.state is job.state:
        return
    job.state = record.state
    if job.is_final:
        batch_state.close_job(job, record.state)
        job.ended_ms = record.ended_ms


def _load_task(batch_state: BatchState, task: Task, record: TaskRecord) -> None:
    task.run = record.run
    task.worker = record.worker
    task.born_ms = record.born_ms
    task.failures = record.failures
    task.checkpoint = record.checkpoint
    task.agent = record.agent
    task.is_bound = record.is_bound
    task.is_settled = record.is_settled
    task.is_completed = record.is_completed
    task.failed_run = record.failed_run
    task.crashes = record.crashes
    task.late_crashes = record.late_crashes
    task.worked_ms = record.worked_ms
    task.crash_agents = list(record.crash_agents)
    task.bound_until_ms = record.bound_until_ms
    task.orders_end_ms = record.orders_end_ms
    task.has_overdue_order = record.has_overdue_order
    task.order_limit_ms = record.order_limit_ms
    if record.is_suspect:
        batch_state.mark_suspect(task)
    if record.state is BatchTaskState.active:
        batch_state.begin_run(task)
    elif record.state is BatchTaskState.done:
        task.job.has_begun = True
        task.mark_done()
        task.job.waiting_tasks -= 1

"""Conversion of the batch state to and from messages.

Used for snapshots, and by a leader to copy the committed state.
"""

from wasabiturn.batch.book import BatchBook
from wasabiturn.batch.jobs import Job, Task, create_job
from wasabiturn.messages.batch import BatchDump, JobRecord, TaskRecord
from wasabiturn.messages.kinds import BatchTaskState


def dump_book(book: BatchBook) -> BatchDump:
    """Return the whole batch state as a message."""
    return BatchDump(
        routing=book.routing,
        out_data_centres=sorted(book.out_data_centres),
        jobs=[_dump_job(job) for job in book.jobs_by_id.values()],
        pressures=list(book.pressures),
    )


def load_book(dump: BatchDump) -> BatchBook:
    """Return the batch state that ``dump`` holds."""
    book = BatchBook(
        routing=dump.routing,
        out_data_centres=set(dump.out_data_centres),
        pressures=list(dump.pressures),
    )
    for record in dump.jobs:
        _load_job(book, record)
    return book


def _dump_job(job: Job) -> JobRecord:
    return JobRecord(
        accepted=job.accepted,
        state=job.state,
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
    )


def _load_job(book: BatchBook, record: JobRecord) -> None:
    job = create_job(record.accepted)
    book.add_job(job)
    for task_record in record.tasks:
        _load_task(book, job.tasks_by_name[task_record.name], task_record)
    if record.state is job.state:
        return
    job.state = record.state
    if job.is_final:
        book.close_job(job, record.state)


def _load_task(book: BatchBook, task: Task, record: TaskRecord) -> None:
    task.run = record.run
    task.worker = record.worker
    task.born_ms = record.born_ms
    task.failures = record.failures
    task.checkpoint = record.checkpoint
    task.agent = record.agent
    if record.state is BatchTaskState.active:
        book.begin_run(task)
    elif record.state is BatchTaskState.done:
        task.mark_done()
        task.job.waiting_tasks -= 1

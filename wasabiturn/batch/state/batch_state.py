"""Replicated state of queues and jobs."""

from collections.abc import Callable
from typing import final

import attrs

from wasabiturn.batch.state.jobs import Job, Task
from wasabiturn.messages.batch import PressureRecord, Routing
from wasabiturn.messages.footprint import Usage
from wasabiturn.messages.kinds import BatchTaskState, JobState


@final
@attrs.define
class BatchState:
    """Jobs, queues, excluded data centres and interference estimates.

    Jobs are kept by ID, tasks by name. ``on_start`` is called with a task
    after a run of it has begun, ``on_end`` after that run has ended; only the
    leader sets them.
    """

    routing: Routing | None = None
    out_data_centres: set[str] = attrs.field(factory=set)
    jobs_by_id: dict[str, Job] = attrs.field(factory=dict)
    open_jobs_by_id: dict[str, Job] = attrs.field(factory=dict)
    # Those that have ended, in the order of their ends.
    ended_jobs_by_id: dict[str, Job] = attrs.field(factory=dict)
    tasks_by_name: dict[str, Task] = attrs.field(factory=dict)
    active_by_name: dict[str, Task] = attrs.field(factory=dict)
    suspects_by_name: dict[str, Task] = attrs.field(factory=dict)
    pressures: list[PressureRecord] = attrs.field(factory=list)
    # See ``state/clock.py``.
    clock_ms: int = 0
    # Room that the jobs take.
    usage: Usage = attrs.field(factory=Usage)
    on_start: Callable[[Task], None] | None = None
    on_end: Callable[[Task], None] | None = None

    def add_job(self, job: Job) -> None:
        """Add a job and its tasks."""
        self.jobs_by_id[job.job_id] = job
        self.open_jobs_by_id[job.job_id] = job
        self.tasks_by_name.update(job.tasks_by_name)
        self.usage.add(job.queue, job.footprint)

    def add_ended_job(self, job: Job) -> None:
        """Add a job of which only the state is kept."""
        job.shrink()
        self.usage.add(job.queue, job.footprint)
        self.jobs_by_id[job.job_id] = job
        self.ended_jobs_by_id[job.job_id] = job

    def sort_ended_jobs(self) -> None:
        """Order the ended jobs by their ends, after they were loaded."""
        ended = self.ended_jobs_by_id.items()
        self.ended_jobs_by_id = dict(
            sorted(ended, key=lambda item: item[1].ended_ms)
        )

    def forget_job(self, job: Job) -> None:
        """Remove an ended job."""
        self.jobs_by_id.pop(job.job_id)
        self.ended_jobs_by_id.pop(job.job_id)
        self.usage.remove(job.queue, job.footprint)

    def begin_run(self, task: Task) -> None:
        """Mark ``task`` active and call ``on_start``."""
        task.state = BatchTaskState.active
        task.part.waiting_by_name.pop(task.name, None)
        task.job.waiting_tasks -= 1
        task.job.active_by_name[task.name] = task
        self.active_by_name[task.name] = task
        if self.on_start is not None:
            self.on_start(task)

    def end_run(self, task: Task) -> None:
        """Remove ``task`` from the active tasks and call ``on_end``."""
        self.active_by_name.pop(task.name, None)
        task.job.active_by_name.pop(task.name, None)
        if self.on_end is not None:
            self.on_end(task)

    def close_job(self, job: Job, state: JobState) -> None:
        """Put a job in a final state and drop its tasks that don't run."""
        job.state = state
        job.ended_ms = self.clock_ms
        self.open_jobs_by_id.pop(job.job_id, None)
        self.ended_jobs_by_id[job.job_id] = job
        for task in list(job.tasks_by_name.values()):
            if task.state is not BatchTaskState.active:
                self.drop_task(task)

    def mark_suspect(self, task: Task) -> None:
        """Have ``task`` start in isolation only."""
        task.is_suspect = True
        self.suspects_by_name[task.name] = task

    def clear_suspect(self, task: Task) -> None:
        """Let ``task`` start beside others again."""
        task.is_suspect = False
        self.suspects_by_name.pop(task.name, None)

    def drop_task(self, task: Task) -> None:
        """Remove a task that will not run again."""
        task.state = BatchTaskState.dropped
        task.job.tasks_by_name.pop(task.name, None)
        task.part.waiting_by_name.pop(task.name, None)
        self.tasks_by_name.pop(task.name, None)
        self.suspects_by_name.pop(task.name, None)
        if task.job.is_final and not task.job.tasks_by_name:
            self._shrink_job(task.job)

    def _shrink_job(self, job: Job) -> None:
        """Keep only the state of a job that has ended."""
        self.usage.remove(job.queue, job.footprint)
        job.shrink()
        self.usage.add(job.queue, job.footprint)

"""What the leader remembers of jobs that run nothing."""

from typing import final

import attrs

from wasabiturn.batch.jobs import Task

# Jobs that end while idle are not removed one by one; above this number all
# entries are dropped.
MAX_IDLE_JOBS = 10_000


@final
@attrs.define
class IdleState:
    """Since when jobs are idle, by the ID of the job."""

    # When a run of the job was last known to work, or else its first task
    # began to wait.
    since_by_job: dict[str, float] = attrs.field(factory=dict)
    # A task with a run that was known to work when the job was last looked at.
    known_task_by_job: dict[str, Task] = attrs.field(factory=dict)

    def forget(self, job_id: str) -> None:
        """Forget a job that does not wait."""
        self.since_by_job.pop(job_id, None)
        self.known_task_by_job.pop(job_id, None)

    def bound_size(self) -> None:
        """Drop all entries if there are too many."""
        if len(self.since_by_job) > MAX_IDLE_JOBS:
            self.since_by_job.clear()
            self.known_task_by_job.clear()

"""What the leader remembers of jobs that run nothing."""

from collections.abc import Container
from typing import final

import attrs

from wasabiturn.batch.state.jobs import Task


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

    def keep_only(self, job_ids: Container[str]) -> None:
        """Forget all jobs but these."""
        for job_id in list(self.since_by_job):
            if job_id not in job_ids:
                self.forget(job_id)

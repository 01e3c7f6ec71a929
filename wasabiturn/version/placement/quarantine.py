"""Quarantine of workers on which attempts keep failing.

A quarantined worker gets no tasks for a while, then one task on trial until
an attempt succeeds. A failure counts against the worker unless its job has
failed on ``JOB_FAULT_MIN_WORKERS`` workers.
"""

from typing import final

import attrs

FAILURES_TO_QUARANTINE = 3
JOB_FAULT_MIN_WORKERS = 3
FIRST_QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 600.0


@final
@attrs.define
class WorkerRecord:
    """Consecutive failures and quarantines of one worker."""

    failures: int = 0
    quarantines: int = 0
    quarantined_until: float = float('-inf')
    on_trial: bool = False


@final
@attrs.define
class Quarantine:
    """Records of failing workers, and the workers on which each job failed."""

    records_by_worker: dict[str, WorkerRecord] = attrs.field(factory=dict)
    failed_workers_by_job: dict[str, set[str]] = attrs.field(factory=dict)

    def record_failure(self, worker: str, job: str, now: float) -> bool:
        """Record a failure; return whether it quarantines the worker."""
        failed_workers = self.failed_workers_by_job.setdefault(job, set())
        failed_workers.add(worker)
        if len(failed_workers) >= JOB_FAULT_MIN_WORKERS:
            return False
        record = self.records_by_worker.setdefault(worker, WorkerRecord())
        record.failures += 1
        if record.failures < FAILURES_TO_QUARANTINE and not record.on_trial:
            return False
        seconds = min(
            FIRST_QUARANTINE_SECONDS * 2**record.quarantines,
            MAX_QUARANTINE_SECONDS,
        )
        record.quarantined_until = now + seconds
        record.quarantines += 1
        record.on_trial = True
        return True

    def record_success(self, worker: str, job: str) -> None:
        """Record a success, which clears the records of worker and job."""
        self.records_by_worker.pop(worker, None)
        self.failed_workers_by_job.pop(job, None)

    def allows(self, worker: str, held_tasks: int, now: float) -> bool:
        """Return whether a worker with ``held_tasks`` may take another."""
        record = self.records_by_worker.get(worker)
        if record is None:
            return True
        if now < record.quarantined_until:
            return False
        return held_tasks == 0 or not record.on_trial

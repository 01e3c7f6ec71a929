"""Retention of claims and completed jobs in the replicated state."""

from collections import deque
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import Resource
from wasabiturn.version.state import State
from wasabiturn.version.task_plans import build_task_name, create_task_plan
from wasabiturn.version.tasks import TERMINAL_STATES

CLAIM_RETENTION_SECONDS = 21_600
SAMPLE_PERIOD_SECONDS = 60.0
KEPT_DONE_JOBS = 2000
MAX_JOB_DELETIONS = 50


@final
@attrs.frozen
class _Sample:
    taken_at: float
    claims_revision: int


@final
@attrs.define
class ClaimAgeTracker:
    """Tracks which claims are older than the retention period.

    Samples the claims revision by the member's own clock. Every member takes
    samples, so that a new leader has them too. A restarted member has none;
    claims then expire later than the retention period, never sooner.
    """

    samples: deque[_Sample] = attrs.field(factory=deque)
    expired_revision: int = 0

    def take_sample(self, state: State, now: float) -> None:
        """Record the current claims revision at ``now``, in seconds."""
        self.samples.append(_Sample(now, state.claims_revision))
        while now - self.samples[0].taken_at >= CLAIM_RETENTION_SECONDS:
            self.expired_revision = self.samples.popleft().claims_revision

    def find_expired_revision(self, state: State) -> int | None:
        """Return the claims revision before which claims have expired.

        Return ``None`` if no claims have expired.
        """
        oldest = next(iter(state.claims_by_key.values()), None)
        if oldest is None or oldest.revision > self.expired_revision:
            return None
        return self.expired_revision + 1


def find_expired_jobs(state: State) -> list[Resource]:
    """Return the oldest completed jobs in excess of ``KEPT_DONE_JOBS``.

    A job is completed once each of its tasks is in a terminal state. At most
    ``MAX_JOB_DELETIONS`` jobs are returned.
    """
    done_revision_by_name: dict[str, int] = {}
    jobs_by_name = state.resources_by_kind[Kind.job]
    for job in jobs_by_name.values():
        done_revision = _find_done_revision(state, job)
        if done_revision is not None:
            done_revision_by_name[job.name] = done_revision
    excess = max(len(done_revision_by_name) - KEPT_DONE_JOBS, 0)
    oldest = sorted(
        done_revision_by_name, key=done_revision_by_name.__getitem__
    )
    expired = oldest[: min(excess, MAX_JOB_DELETIONS)]
    return [jobs_by_name[name] for name in expired]


def _find_done_revision(state: State, job: Resource) -> int | None:
    tasks_by_name = state.resources_by_kind[Kind.task]
    newest = job.revision
    for number in range(create_task_plan(job).declared_count):
        task = tasks_by_name.get(build_task_name(job.name, number))
        if task is None or task.task_spec is None:
            continue
        if task.task_spec.state not in TERMINAL_STATES:
            return None
        newest = max(newest, task.revision)
    return newest

"""What the state may forget: old claims, and jobs that are done."""

from collections import deque
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import Resource
from wasabiturn.version.state import State
from wasabiturn.version.task_plans import create_plan, task_name
from wasabiturn.version.tasks import SETTLED_STATES

CLAIM_RETENTION_SECONDS = 21_600
SAMPLE_PERIOD_SECONDS = 60.0
KEPT_DONE_JOBS = 2000
DELETE_LIMIT = 50


@final
@attrs.frozen
class _Sample:
    taken_at: float
    claims_revision: int


@final
@attrs.define
class ClaimAgeTracker:
    """Claims revisions of the retention period, by the member's own clock.

    Every member keeps them, so that a new leader knows them too. A member
    that has restarted begins anew, and forgets claims later, never sooner.
    """

    samples: deque[_Sample] = attrs.field(factory=deque)
    expired_revision: int = 0

    def take_sample(self, state: State, now: float) -> None:
        """Note the present claims revision."""
        self.samples.append(_Sample(now, state.claims_revision))
        while now - self.samples[0].taken_at >= CLAIM_RETENTION_SECONDS:
            self.expired_revision = self.samples.popleft().claims_revision

    def find_expired_revision(self, state: State) -> int | None:
        """Return the claims revision before which claims may be forgotten.

        ``None`` if there are no such claims.
        """
        oldest = next(iter(state.claims_by_key.values()), None)
        if oldest is None or oldest.revision > self.expired_revision:
            return None
        return self.expired_revision + 1


def find_expired_jobs(state: State) -> list[Resource]:
    """Return the jobs that were done longest ago, beyond those kept.

    A job is done once each of its tasks has settled.
    """
    done_at_by_name: dict[str, int] = {}
    jobs_by_name = state.resources_by_kind[Kind.job]
    for job in jobs_by_name.values():
        done_at = _find_done_revision(state, job)
        if done_at is not None:
            done_at_by_name[job.name] = done_at
    surplus = max(len(done_at_by_name) - KEPT_DONE_JOBS, 0)
    oldest = sorted(done_at_by_name, key=done_at_by_name.__getitem__)
    expired = oldest[: min(surplus, DELETE_LIMIT)]
    return [jobs_by_name[name] for name in expired]


def _find_done_revision(state: State, job: Resource) -> int | None:
    tasks_by_name = state.resources_by_kind[Kind.task]
    newest = job.revision
    for number in range(create_plan(job).declared):
        task = tasks_by_name.get(task_name(job.name, number))
        if task is None or task.task_spec is None:
            continue
        if task.task_spec.state not in SETTLED_STATES:
            return None
        newest = max(newest, task.revision)
    return newest

"""Which ended jobs are forgotten, and when one may be.

Callers read the state of a job for some time after it has ended.
"""

from collections.abc import Iterator
from itertools import islice

from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.budget import count_kept_jobs
from wasabiturn.messages.link import StateBudget

# Callers are promised the state of an ended job for so long.
STATUS_SECONDS = 120
# Beyond this number of ended jobs, those that ended first are forgotten.
MAX_ENDED_JOBS = 4000
# With so many that may not be forgotten yet, no new jobs are accepted. Each
# takes about 1 KB of memory, and the leader has each twice.
MAX_KEPT_JOBS = 10_000
_MS = 1000


def find_forgettable(
    batch_state: BatchState, now_ms: int, budget: StateBudget | None = None
) -> Iterator[str]:
    """Yield the surplus of ended jobs whose time is over, first end first."""
    ended = batch_state.ended_jobs_by_id
    kept = MAX_ENDED_JOBS
    if budget is not None:
        kept = min(kept, count_kept_jobs(budget))
    surplus = max(len(ended) - kept, 0)
    for job in islice(ended.values(), surplus):
        if now_ms < job.ended_ms + STATUS_SECONDS * _MS:
            return
        if not job.tasks_by_name:
            yield job.job_id


def find_refusal_ms(batch_state: BatchState, now_ms: int) -> int:
    """Return for how long no new job has room beside ended ones, or 0."""
    ended = batch_state.ended_jobs_by_id
    if len(ended) < MAX_KEPT_JOBS:
        return 0
    first = next(iter(ended.values()))
    return max(first.ended_ms + STATUS_SECONDS * _MS - now_ms, 1)

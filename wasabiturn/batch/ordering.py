"""Which waiting work comes first.

Answers days on which more is handed in than can be in time: jobs with the
nearest objective come first, lasting tasks before all, and jobs whose result
is past any use last, so that they hold back nothing that can still be in time.
"""

from typing import final

import attrs

from wasabiturn.batch.book import BatchBook
from wasabiturn.batch.jobs import Job, Part
from wasabiturn.messages.batch import Step

# A late result is still of use up to this multiple of the objective.
LATE_FACTOR = 3


@final
@attrs.frozen
class Moment:
    """The present, in seconds of the loop and in wall clock milliseconds."""

    now: float
    wall_ms: int


def order_parts(book: BatchBook, moment: Moment) -> list[Part]:
    """Return the parts with tasks that may start now, first things first."""
    jobs = [job for job in book.open_jobs_by_id.values() if job.waiting_tasks]
    jobs.sort(key=lambda job: _urgency(job, moment))
    return [
        part
        for job in jobs
        for part in job.parts_by_key.values()
        if part.waiting_by_name
        and part.due_ms <= moment.wall_ms
        and part.is_ready()
    ]


def needs_no_less(step: Step, stuck: Step) -> bool:
    """Tell whether ``step`` cannot fit where ``stuck`` did not."""
    if stuck.required_label or stuck.max_per_worker or stuck.gang:
        return False
    if stuck.fills is not step.fills or stuck.lasting is not step.lasting:
        return False
    return (
        step.millicores >= stuck.millicores
        and step.memory_mb >= stuck.memory_mb
        and step.accelerators >= stuck.accelerators
    )


def _urgency(job: Job, moment: Moment) -> tuple[int, float]:
    accepted_ms = job.accepted.accepted_ms
    if any(step.lasting for step in job.accepted.declaration.steps):
        return 0, accepted_ms
    if moment.wall_ms > accepted_ms + LATE_FACTOR * job.objective_ms:
        return 2, accepted_ms
    return 1, accepted_ms + job.objective_ms

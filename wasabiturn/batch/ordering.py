"""Which waiting work comes first.

Answers days on which more is handed in than can be in time. Serving all by
their objectives alone would make all late, so jobs that can still be in time
come first, those that have begun before others and small ones before large
ones: work spread over many jobs would finish none in time. Then come late ones
that are nearly finished; those past any use of their result come last. Lasting
tasks come before all.
"""

import enum
from typing import final

import attrs

from wasabiturn.batch.jobs import Job, Part
from wasabiturn.batch.state import BatchState
from wasabiturn.messages.batch import Step
from wasabiturn.messages.kinds import JobState

# A late result is still of use up to this multiple of the objective.
LATE_FACTOR = 3


@final
class Prospect(enum.IntEnum):
    """What a job's result can still be, best first."""

    lasting = 0
    in_time = 1
    late = 2
    useless = 3


@final
@attrs.frozen
class Moment:
    """The present, in seconds of the loop and in wall clock milliseconds."""

    now: float
    wall_ms: int


def order_parts(batch_state: BatchState, moment: Moment) -> list[Part]:
    """Return the parts with tasks that may start now, first things first."""
    jobs = [
        job for job in batch_state.open_jobs_by_id.values() if job.waiting_tasks
    ]
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
    if stuck.fills and stuck.image != step.image:
        # Another image may not press where this one does.
        return False
    return (
        step.millicores >= stuck.millicores
        and step.memory_mb >= stuck.memory_mb
        and step.accelerators >= stuck.accelerators
    )


def _urgency(job: Job, moment: Moment) -> tuple[int, int, float]:
    accepted_ms = job.accepted.accepted_ms
    prospect = find_prospect(job, moment)
    if prospect is Prospect.in_time:
        is_new = job.state is JobState.queued
        return prospect, int(is_new), job.remaining_work()
    if prospect is Prospect.late:
        return prospect, 0, float(job.remaining_ms())
    return prospect, 0, accepted_ms


def find_prospect(job: Job, moment: Moment) -> Prospect:
    """Return what the job's result can be if it goes on at once."""
    if any(step.lasting for step in job.accepted.declaration.steps):
        return Prospect.lasting
    done_ms = moment.wall_ms + job.remaining_ms()
    passed_ms = done_ms - job.due_ms()
    if passed_ms <= job.objective_ms:
        return Prospect.in_time
    if passed_ms <= LATE_FACTOR * job.objective_ms:
        return Prospect.late
    return Prospect.useless

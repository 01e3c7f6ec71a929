"""Order in which waiting work is started.

The order is made for overload, when not all jobs can meet their objectives;
earliest deadline first would then make all of them late. Lasting tasks come
first. Next come jobs that can still be in time, running ones before new ones
and small ones before large ones, as work spread over many jobs would finish
none in time. Then come late jobs, those nearest to completion first, and at
last jobs whose results have expired. Where the priority of queues counts, it
comes before the rest among jobs in time, and among late ones.
"""

import enum
from typing import final

import attrs

from wasabiturn.batch.queueing.priorities import effective_priority
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Job, Part
from wasabiturn.messages.batch import Step
from wasabiturn.messages.kinds import JobState

# A late result is of use up to this multiple of the objective.
LATE_FACTOR = 3


@final
class UrgencyClass(enum.IntEnum):
    """Class of a job by when its result can be ready, most urgent first."""

    lasting = 0
    in_time = 1
    late = 2
    expired = 3


@final
@attrs.frozen
class Moment:
    """The present time: seconds of the event loop, and Unix milliseconds."""

    now: float
    wall_ms: int


def order_parts(
    batch_state: BatchState, moment: Moment, *, by_priority: bool = False
) -> list[Part]:
    """Return the parts with tasks that may start now, most urgent first.

    ``by_priority`` tells whether the priority of their queues counts.
    """
    jobs = _list_waiting_jobs(batch_state)
    jobs.sort(key=lambda job: _sort_key(job, moment, by_priority=by_priority))
    return _list_parts(jobs, moment)


def order_lasting_parts(batch_state: BatchState, moment: Moment) -> list[Part]:
    """Return those of lasting tasks, without a look at what the others need."""
    jobs = list(filter(_has_lasting_step, _list_waiting_jobs(batch_state)))
    jobs.sort(key=lambda job: _sort_key(job, moment, by_priority=False))
    return [part for part in _list_parts(jobs, moment) if part.step.lasting]


def _list_waiting_jobs(batch_state: BatchState) -> list[Job]:
    return [
        job for job in batch_state.open_jobs_by_id.values() if job.waiting_tasks
    ]


def _list_parts(jobs: list[Job], moment: Moment) -> list[Part]:
    return [part for job in jobs for part in list_due_parts(job, moment)]


def list_due_parts(job: Job, moment: Moment) -> list[Part]:
    """Return the parts of a job with waiting tasks whose turn has come."""
    return [
        part
        for part in job.parts_by_key.values()
        if part.waiting_by_name
        and part.due_ms <= moment.wall_ms
        and part.is_ready()
    ]


def has_no_chance(part: Part, unplaced_part: Part) -> bool:
    """Return whether a part cannot fit anywhere if another one did not."""
    if part.job.accepted.terms.service_name != (
        unplaced_part.job.accepted.terms.service_name
    ):
        return False
    return _needs_at_least(part.step, unplaced_part.step)


def _needs_at_least(step: Step, unplaced: Step) -> bool:
    if unplaced.required_label or unplaced.max_per_worker or unplaced.gang:
        return False
    if unplaced.fills is not step.fills or unplaced.lasting is not step.lasting:
        return False
    if unplaced.fills and unplaced.image != step.image:
        # Another image may interfere less with the lasting tasks.
        return False
    return (
        step.millicores >= unplaced.millicores
        and step.memory_mb >= unplaced.memory_mb
        and step.accelerators >= unplaced.accelerators
    )


def _sort_key(
    job: Job, moment: Moment, *, by_priority: bool
) -> tuple[int, int, int, float]:
    urgency = classify_job(job, moment)
    priority = effective_priority(job, moment.wall_ms) if by_priority else 0
    if urgency is UrgencyClass.in_time:
        is_new = job.state is JobState.queued
        return urgency, priority, int(is_new), job.remaining_work()
    if urgency is UrgencyClass.late:
        return urgency, priority, 0, float(job.remaining_ms())
    return urgency, 0, 0, job.accepted.accepted_ms


def _has_lasting_step(job: Job) -> bool:
    return any(step.lasting for step in job.accepted.declaration.steps)


def classify_job(job: Job, moment: Moment) -> UrgencyClass:
    """Return the class of a job if its remaining work started at once."""
    if _has_lasting_step(job):
        return UrgencyClass.lasting
    expected_done_ms = moment.wall_ms + job.remaining_ms()
    turnaround_ms = expected_done_ms - job.due_ms()
    if turnaround_ms <= job.objective_ms:
        return UrgencyClass.in_time
    if turnaround_ms <= LATE_FACTOR * job.objective_ms:
        return UrgencyClass.late
    return UrgencyClass.expired

"""What a wait for a rack may cost a step, and what it may save."""

from typing import final

import attrs

from wasabiturn.batch.fleet import UNKNOWN, Fleet
from wasabiturn.batch.placing.locality.state import IdleWait, Rank, Wait
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.queueing.progress import MAX_IDLE_SECONDS, idle_seconds
from wasabiturn.batch.state.jobs import Job, Part

_MS = 1000
# A step waits for no longer in all, whatever its tasks would save.
MAX_WAIT_SECONDS = 5.0
# A job that runs nothing waits for no longer in all. Plans are up to 0.1 s
# apart, and an order takes some time to begin a run.
MAX_IDLE_WAIT_SECONDS = MAX_IDLE_SECONDS - 0.5


@final
@attrs.frozen
class PlaceWorth:
    """What a place in its rack is worth to a task now.

    ``slack_seconds`` is how much later its job may be if the task starts
    elsewhere at once; it is negative if the job then misses its objective.
    """

    saved_seconds: float
    slack_seconds: float

    def rank(self, number: int) -> Rank:
        """Return the rank of a wait; ``number`` rises with its begin."""
        slack = self.slack_seconds
        decides = slack <= 0 < slack + self.saved_seconds
        return not decides, -self.saved_seconds, number


def find_worth(
    part: Part, near_seconds: float, slowdown_factor: float, moment: Moment
) -> PlaceWorth:
    """Return the worth for a task that takes ``near_seconds`` in its rack."""
    job = part.job
    far_seconds = near_seconds * slowdown_factor
    remaining_ms = job.remaining_ms() - part.step.estimate_ms
    done_ms = moment.wall_ms + remaining_ms + far_seconds * _MS
    slack_ms = job.objective_ms - (done_ms - job.due_ms())
    return PlaceWorth(far_seconds - near_seconds, slack_ms / _MS)


def limit_seconds(saved_seconds: float) -> float:
    """Return for how long a step may wait in all."""
    return min(saved_seconds, MAX_WAIT_SECONDS)


def idle_left_seconds(fleet: Fleet, job: Job, now: float) -> float:
    """Return for how long yet a job may run nothing for a wait."""
    if job.active_by_name:
        return UNKNOWN
    idle = fleet.locality.idle_by_job.get(job.job_id)
    waited = 0.0 if idle is None else idle.seconds
    waited = max(waited, idle_seconds(fleet, job, now))
    return MAX_IDLE_WAIT_SECONDS - waited


def record_decline(fleet: Fleet, wait: Wait, now: float) -> None:
    """Count the time since a step declined a place for the last time."""
    added = wait.decline(now)
    job = wait.part.job
    if not job.active_by_name:
        idle = fleet.locality.idle_by_job.setdefault(job.job_id, IdleWait(job))
        idle.seconds += added

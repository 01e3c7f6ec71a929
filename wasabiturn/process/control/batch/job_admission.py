"""Which jobs the leader refuses, as the state has no room for them.

A refused job is never stored, so it certainly does not run.
"""

import enum
from collections.abc import Callable
from typing import Any, final

import attrs

from wasabiturn.batch import BatchState
from wasabiturn.batch.state.budget import has_room
from wasabiturn.batch.state.ended_jobs import (
    find_forgettable,
    find_refusal_ms,
)
from wasabiturn.batch.state.jobs import count_tasks
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.messages.batch import AcceptJob, BatchChange
from wasabiturn.messages.footprint import measure_job
from wasabiturn.messages.link import StateBudget
from wasabiturn.process import exposition
from wasabiturn.process.control.batch.group_budget import follow_group_budget
from wasabiturn.process.control.batch.pipeline import Pipeline
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.tally_log import TallyLog
from wasabiturn.version.replica import Replica

# Each task costs the leader some time whenever it plans.
MAX_OPEN_TASKS = 100_000
# Jobs end within seconds, and each makes room.
RETRY_MS = 2000

_log = create_component_log('queues')


@final
class RefusalReason(enum.StrEnum):
    """Why a job was refused; the value is a label of a metric."""

    open_tasks = 'open tasks'
    ended_jobs = 'ended jobs'
    state_budget = 'state budget'


@final
@attrs.frozen
class Refusal:
    """Refusal of one job; its caller may come back after ``retry_ms``."""

    reason: RefusalReason
    retry_ms: int = RETRY_MS


@final
class JobAdmission:
    """Refuses jobs, and makes room by forgetting ended ones."""

    def __init__(
        self, find_budget: Callable[[], StateBudget | None], clock: Any
    ) -> None:
        """Create it; without a budget, only the number of tasks is bounded."""
        self._find_budget = find_budget
        self._tally_log = TallyLog(_log, 'refuses jobs', clock)

    def refuse(self, accepted: AcceptJob, pipeline: Pipeline) -> Refusal | None:
        """Return the refusal of a job, or none if there is room for it."""
        refusal = self._find_refusal(accepted, pipeline)
        if refusal is not None:
            exposition.refused_jobs.labels(refusal.reason.value).inc()
            self._record(refusal, accepted, pipeline.batch_state)
        return refusal

    def forget_ended_jobs(self, pipeline: Pipeline) -> None:
        """Forget the ended jobs beyond the number that is kept."""
        forgets = list(
            find_forgettable(
                pipeline.batch_state, pipeline.read_clock(), self._find_budget()
            )
        )
        if forgets:
            pipeline.add(BatchChange(forgets=forgets))

    def _find_refusal(
        self, accepted: AcceptJob, pipeline: Pipeline
    ) -> Refusal | None:
        batch_state = pipeline.batch_state
        tasks = count_tasks(accepted.declaration)
        if len(batch_state.tasks_by_name) + tasks > MAX_OPEN_TASKS:
            return Refusal(RefusalReason.open_tasks)
        retry_ms = find_refusal_ms(batch_state, pipeline.read_clock())
        if retry_ms:
            return Refusal(RefusalReason.ended_jobs, retry_ms)
        budget = self._find_budget()
        footprint = measure_job(accepted, tasks)
        queue = accepted.declaration.queue
        if budget is None or has_room(batch_state, budget, queue, footprint):
            return None
        return Refusal(RefusalReason.state_budget)

    def _record(
        self, refusal: Refusal, accepted: AcceptJob, batch_state: BatchState
    ) -> None:
        declaration = accepted.declaration
        usage = batch_state.usage
        self._tally_log.record(
            (refusal.reason, declaration.queue),
            reason=refusal.reason.value,
            retry_after_ms=refusal.retry_ms,
            job=declaration.job_id,
            queue=declaration.queue,
            tasks=count_tasks(declaration),
            open_tasks=len(batch_state.tasks_by_name),
            ended_jobs=len(batch_state.ended_jobs_by_id),
            used=attrs.asdict(usage.total),
            used_by_queue=attrs.asdict(usage.of_queue(declaration.queue)),
        )


def create_admission(
    dispatch: Dispatch, replica: Replica, clock: Any
) -> JobAdmission:
    """Create the admission of a member, which learns the others' budgets."""
    return JobAdmission(follow_group_budget(dispatch, replica).find, clock)

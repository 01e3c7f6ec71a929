"""Log lines about jobs that run nothing while tasks of theirs could."""

from typing import final

from wasabiturn.batch import BatchState
from wasabiturn.batch.fleet import NEVER, Fleet
from wasabiturn.batch.orders.bindings import find_held_tasks
from wasabiturn.batch.placing.candidates import find_candidates
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.queueing.ordering import Moment, list_due_parts
from wasabiturn.batch.queueing.progress import idle_seconds
from wasabiturn.batch.state.jobs import Job
from wasabiturn.batch.waiting_reasons import (
    REPORTED_AFTER_SECONDS,
    Waiting,
    create_view,
    explain_waiting,
)
from wasabiturn.process import exposition
from wasabiturn.process.control.batch.starts import wall_clock_ms
from wasabiturn.utils.logs import create_component_log

# How often jobs are looked at, and how often one of them is reported.
REVIEW_SECONDS = 0.5
REPEAT_SECONDS = 5.0
# More idle jobs wait for the next review.
MAX_REPORTS_PER_REVIEW = 5
MAX_RUNS_PER_LINE = 5

_log = create_component_log('queues')


@final
class IdleJobWatch:
    """Reports the idle jobs of one leader term."""

    def __init__(self, batch_state: BatchState, fleet: Fleet) -> None:
        """Create a watch that has seen no idle jobs."""
        self._batch_state = batch_state
        self._fleet = fleet
        self._reported_at_by_job: dict[str, float] = {}
        self._reviewed_at = NEVER

    def review(self, forecasts: Forecasts, now: float) -> None:
        """Report the jobs that have been idle for too long."""
        if now < self._reviewed_at + REVIEW_SECONDS:
            return
        self._reviewed_at = now
        moment = Moment(now=now, wall_ms=wall_clock_ms())
        idle = self._find_idle(moment)
        exposition.idle_jobs.set(len(idle))
        self._forget_others(idle)
        due = [
            job
            for job in idle
            if now
            >= self._reported_at_by_job.get(job.job_id, NEVER) + REPEAT_SECONDS
        ]
        if due:
            self._report(due[:MAX_REPORTS_PER_REVIEW], forecasts, moment)

    def _find_idle(self, moment: Moment) -> list[Job]:
        idle: list[Job] = []
        self._fleet.idle.keep_only(self._batch_state.open_jobs_by_id)
        for job in self._batch_state.open_jobs_by_id.values():
            if not job.waiting_tasks or not list_due_parts(job, moment):
                self._fleet.idle.forget(job.job_id)
            elif self._is_idle(job, moment.now):
                idle.append(job)
        return idle

    def _is_idle(self, job: Job, now: float) -> bool:
        seconds = idle_seconds(self._fleet, job, now)
        return seconds >= REPORTED_AFTER_SECONDS

    def _forget_others(self, idle: list[Job]) -> None:
        """Forget when jobs were reported that are idle no more."""
        idle_ids = {job.job_id for job in idle}
        self._reported_at_by_job = {
            job_id: reported_at
            for job_id, reported_at in self._reported_at_by_job.items()
            if job_id in idle_ids
        }

    def _report(
        self, jobs: list[Job], forecasts: Forecasts, moment: Moment
    ) -> None:
        candidates = find_candidates(
            self._fleet.workers_by_incarnation.values(),
            self._batch_state,
            forecasts,
            moment.now,
            find_held_tasks(self._fleet, self._batch_state, moment.now),
        )
        view = create_view(self._batch_state, self._fleet, candidates, moment)
        for job in jobs:
            self._reported_at_by_job[job.job_id] = moment.now
            since = self._fleet.idle.since_by_job[job.job_id]
            _log_idle(job, moment.now - since, explain_waiting(job, view))


def _log_idle(job: Job, seconds: float, waiting: Waiting) -> None:
    _log.event(
        'job runs nothing',
        job=job.job_id,
        idle_seconds=round(seconds, 3),
        waiting={
            reason.value: tasks
            for reason, tasks in waiting.tasks_by_reason.items()
        },
        held_seconds=round(waiting.held_seconds, 3),
        assumed=len(waiting.assumed_runs),
        assumed_runs=[
            [run.task, run.worker, run.heard_seconds, run.known_seconds]
            for run in waiting.assumed_runs[:MAX_RUNS_PER_LINE]
        ],
    )

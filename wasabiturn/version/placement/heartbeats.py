"""Processing of agent heartbeats: workers and reports of attempts."""

from typing import final

import attrs
from expression import Error, Ok, Result

from wasabiturn.messages.kinds import AttemptState, TaskState
from wasabiturn.messages.session import AttemptReport, Heartbeat
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.lifecycle import (
    HOLDING_STATES,
    apply_report,
)
from wasabiturn.version.placement.periods import (
    PERMIT_SECONDS,
    latest_expiry,
)
from wasabiturn.version.placement.table import PlacementTable, Progress
from wasabiturn.version.placement.workers import Worker


def register_worker(
    table: PlacementTable,
    heartbeat: Heartbeat,
    now: float,
) -> Result[Worker, str]:
    """Create or update the worker that sent ``heartbeat``.

    Return an error if its incarnation was replaced, or if a heartbeat with a
    higher sequence number has already arrived. A replaced incarnation takes
    over again once the present one is silent: a new leader may have heard the
    last heartbeat of a dead agent after the first one of its successor.
    """
    worker = table.get_or_create_worker(heartbeat.agent)
    is_replaced = heartbeat.incarnation in worker.past_incarnations
    if is_replaced and worker.has_recent_heartbeat(now):
        return Error('a newer incarnation of this agent was heard')
    if worker.incarnation != heartbeat.incarnation:
        _replace_incarnation(worker, heartbeat.incarnation)
    if heartbeat.sequence < worker.sequence:
        return Error('a newer heartbeat was heard')
    worker.sequence = heartbeat.sequence
    worker.last_heartbeat_at = now
    worker.data_centre = heartbeat.data_centre
    worker.rack = heartbeat.rack
    worker.reconciled = heartbeat.reconciled
    worker.leaving = heartbeat.leaving
    worker.resize(heartbeat.capacity)
    return Ok(worker)


@final
@attrs.frozen
class ReportedChange:
    """Change of a task by a report, valid only while in ``from_state``."""

    from_state: TaskState
    next_spec: TaskSpec


def evaluate_reports(
    table: PlacementTable,
    worker: Worker,
    reports: list[AttemptReport],
    now: float,
) -> dict[str, ReportedChange]:
    """Return the change of each task that ``reports`` affect."""
    next_by_task = {}
    for report in reports:
        spec = table.specs_by_task.get(report.task)
        if spec is None or not _matches_attempt(spec, worker, report):
            continue
        _record_progress(table, report, now)
        next_spec = _next_spec_for(table, worker, spec, report)
        if next_spec is not None:
            next_by_task[report.task] = ReportedChange(spec.state, next_spec)
    return next_by_task


def has_start_permit_expired(
    table: PlacementTable,
    spec: TaskSpec,
    now: float,
) -> bool:
    """Return whether the assigned incarnation can no longer start a task.

    From then on, a listing by the worker that lacks the attempt proves that
    it is not running and never will.
    """
    granted = table.latest_grant_at(spec.worker, spec.incarnation)
    return now > latest_expiry(granted, PERMIT_SECONDS)


def _record_progress(
    table: PlacementTable,
    report: AttemptReport,
    now: float,
) -> None:
    learned = table.learned
    if report.checkpoint:
        learned.checkpoints_by_task[report.task] = report.checkpoint
    progress = Progress(run_seconds=report.run_seconds, reported_at=now)
    learned.progress_by_task[report.task] = progress


def _replace_incarnation(worker: Worker, incarnation: str) -> None:
    if worker.incarnation:
        worker.past_incarnations.add(worker.incarnation)
    worker.past_incarnations.discard(incarnation)
    worker.incarnation = incarnation
    worker.sequence = 0


def _matches_attempt(
    spec: TaskSpec,
    worker: Worker,
    report: AttemptReport,
) -> bool:
    if spec.attempt != report.attempt:
        return False
    return not spec.worker or spec.worker == worker.name


def _next_spec_for(
    table: PlacementTable,
    worker: Worker,
    spec: TaskSpec,
    report: AttemptReport,
) -> TaskSpec | None:
    next_spec = apply_report(spec, report, table.failure_policy_of(spec))
    if next_spec is not None:
        return next_spec
    if (
        report.state is not AttemptState.running
        or spec.state not in HOLDING_STATES
    ):
        return None
    if spec.incarnation == worker.incarnation:
        return None
    return attrs.evolve(spec, incarnation=worker.incarnation)

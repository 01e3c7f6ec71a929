"""What a heartbeat of an agent changes, and what may be concluded from it."""

from typing import final

import attrs
from expression import Error, Ok, Result

from wasabiturn.messages.kinds import AttemptState, TaskState
from wasabiturn.messages.session import AttemptReport, Heartbeat
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.lifecycle import (
    HOLDING,
    after_report,
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
    """Take the worker of ``heartbeat`` into the table.

    Refused: heartbeats of an incarnation that was replaced, and those that
    a newer one has overtaken.
    """
    worker = table.worker(heartbeat.agent)
    if heartbeat.incarnation in worker.past_incarnations:
        return Error('a newer incarnation of this agent was heard')
    if worker.incarnation != heartbeat.incarnation:
        _replace_incarnation(worker, heartbeat.incarnation)
    if heartbeat.sequence < worker.sequence:
        return Error('a newer heartbeat was heard')
    worker.sequence = heartbeat.sequence
    worker.heard_at = now
    worker.data_centre = heartbeat.data_centre
    worker.rack = heartbeat.rack
    worker.reconciled = heartbeat.reconciled
    worker.leaving = heartbeat.leaving
    worker.resize(heartbeat.capacity)
    return Ok(worker)


@final
@attrs.frozen
class ReportedChange:
    """Next state of a task, valid only from the state that was judged."""

    judged_state: TaskState
    following: TaskSpec


def evaluate_reports(
    table: PlacementTable,
    worker: Worker,
    reports: list[AttemptReport],
    now: float,
) -> dict[str, ReportedChange]:
    """Return the next state of each task that ``reports`` change."""
    next_by_task = {}
    for report in reports:
        spec = table.specs_by_task.get(report.task)
        if spec is None or not _is_about(spec, worker, report):
            continue
        _note_progress(table, report, now)
        changed = _judge(table, worker, spec, report)
        if changed is not None:
            next_by_task[report.task] = ReportedChange(spec.state, changed)
    return next_by_task


def may_ask_for_loss(
    table: PlacementTable,
    spec: TaskSpec,
    now: float,
) -> bool:
    """Tell whether an earlier incarnation can no longer start the attempt.

    From then on a worker's list that lacks the attempt proves that it is not
    running and never will.
    """
    granted = table.granted_at(spec.worker, spec.incarnation)
    return now > latest_expiry(granted, PERMIT_SECONDS)


def _note_progress(
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
    worker.incarnation = incarnation
    worker.sequence = 0


def _is_about(spec: TaskSpec, worker: Worker, report: AttemptReport) -> bool:
    if spec.attempt != report.attempt:
        return False
    return not spec.worker or spec.worker == worker.name


def _judge(
    table: PlacementTable,
    worker: Worker,
    spec: TaskSpec,
    report: AttemptReport,
) -> TaskSpec | None:
    changed = after_report(spec, report, table.rules_of(spec))
    if changed is not None:
        return changed
    if report.state is not AttemptState.running or spec.state not in HOLDING:
        return None
    if spec.incarnation == worker.incarnation:
        return None
    return attrs.evolve(spec, incarnation=worker.incarnation)

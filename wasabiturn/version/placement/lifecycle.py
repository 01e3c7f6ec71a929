"""State transitions of a task on reports of its attempts.

Each handler returns the next spec of the task, or ``None`` if nothing
changes. Reports of any attempt other than the committed one are ignored.
"""

from collections.abc import Callable
from typing import final

import attrs

from wasabiturn.messages.kinds import (
    AttemptState,
    CrashSuspicion,
    Kind,
    TaskState,
)
from wasabiturn.messages.session import AttemptReport
from wasabiturn.messages.state import TaskSpec
from wasabiturn.request.suspects import MAX_CRASHES, may_run_again

# States in which a task is charged to a worker.
HOLDING_STATES = frozenset(
    (
        TaskState.assigned,
        TaskState.running,
        TaskState.evicting,
        TaskState.stopping,
    ),
)
TERMINAL_STATES = frozenset(
    (
        TaskState.finished,
        TaskState.failed,
        TaskState.cancelled,
    ),
)
_WAITING = TaskState.waiting
# States in which the end of a task's worker is not the work of its drain.
_CRASHING_STATES = frozenset((TaskState.assigned, TaskState.running))
_REPORT_IGNORED_STATES = TERMINAL_STATES | {TaskState.impossible}
_MAX_REASON_CHARACTERS = 200


@final
@attrs.frozen
class FailurePolicy:
    """How many failures the owner of a task tolerates."""

    max_failures: int = 0


def apply_report(
    spec: TaskSpec,
    report: AttemptReport,
    policy: FailurePolicy,
) -> TaskSpec | None:
    """Return ``spec`` after a report by the agent that holds its attempt."""
    if report.attempt != spec.attempt or spec.state in _REPORT_IGNORED_STATES:
        return None
    handler = _handlers_by_state.get(report.state)
    return handler(spec, report, policy) if handler else None


def apply_loss(spec: TaskSpec, reason: str) -> TaskSpec | None:
    """Return ``spec`` after its attempt ended without a known outcome."""
    if spec.state not in HOLDING_STATES:
        return None
    if spec.state is TaskState.stopping and spec.idempotent:
        return attrs.evolve(spec, state=TaskState.cancelled, reason=reason)
    if spec.idempotent or spec.owner_kind is Kind.service:
        return requeue(spec, reason)
    return attrs.evolve(spec, state=TaskState.outcome_unknown, reason=reason)


def apply_crash(
    lost: TaskSpec, worker: str, suspicion: CrashSuspicion
) -> TaskSpec:
    """Return the spec of a lost task after ``worker`` crashed under it.

    A task of a job is given up once the crashes tell that it is their cause;
    a bad worker that crashes again is no evidence against the task.
    """
    crashed_workers = [*lost.crashed_workers, worker][-MAX_CRASHES:]
    counted = attrs.evolve(lost, crashed_workers=crashed_workers)
    if worker in lost.crashed_workers:
        suspicion = CrashSuspicion.shared
    if lost.owner_kind is Kind.service:
        return counted
    if may_run_again(len(crashed_workers), suspicion):
        return counted
    names = ', '.join(crashed_workers)
    return attrs.evolve(
        counted,
        state=TaskState.failed,
        reason=f'given up: its workers crashed under it: {names}',
    )


def requeue(spec: TaskSpec, reason: str) -> TaskSpec:
    """Return ``spec`` reset to wait for its next attempt."""
    return attrs.evolve(
        spec,
        state=TaskState.waiting,
        worker='',
        incarnation='',
        reason=reason[:_MAX_REASON_CHARACTERS],
    )


def _handle_running(
    spec: TaskSpec,
    report: AttemptReport,
    policy: FailurePolicy,
) -> TaskSpec | None:
    if spec.state is not TaskState.assigned:
        return None
    return attrs.evolve(spec, state=TaskState.running)


def _handle_finished(
    spec: TaskSpec,
    report: AttemptReport,
    policy: FailurePolicy,
) -> TaskSpec | None:
    if spec.owner_kind is not Kind.service:
        return attrs.evolve(spec, state=TaskState.finished, reason='finished')
    if spec.state is TaskState.stopping:
        return attrs.evolve(spec, state=TaskState.cancelled)
    if spec.state in HOLDING_STATES:
        return requeue(spec, 'replica ended')
    return None


def _handle_failed(
    spec: TaskSpec,
    report: AttemptReport,
    policy: FailurePolicy,
) -> TaskSpec | None:
    if spec.state is TaskState.waiting:
        return None
    failed = attrs.evolve(spec, failures=spec.failures + 1)
    reason = f'failed on {spec.worker}: {report.reason}'
    if spec.state is TaskState.stopping:
        return attrs.evolve(failed, state=TaskState.cancelled, reason=reason)
    if spec.owner_kind is Kind.service:
        return requeue(failed, reason)
    if spec.idempotent and failed.failures <= policy.max_failures:
        return requeue(failed, reason)
    return attrs.evolve(failed, state=TaskState.failed, reason=reason)


def _handle_stopped(
    spec: TaskSpec,
    report: AttemptReport,
    policy: FailurePolicy,
) -> TaskSpec | None:
    if spec.state is TaskState.stopping:
        return attrs.evolve(spec, state=TaskState.cancelled)
    if spec.state is TaskState.evicting and _may_resume(spec, report):
        latest_checkpoint = report.checkpoint or spec.checkpoint
        evictions = spec.evictions + 1
        evicted = attrs.evolve(
            spec,
            checkpoint=latest_checkpoint,
            evictions=evictions,
        )
        return requeue(evicted, f'evicted: {spec.reason}')
    latest_checkpoint = report.checkpoint or spec.checkpoint
    stopped = attrs.evolve(spec, checkpoint=latest_checkpoint)
    return apply_loss(stopped, f'stopped on {spec.worker}: {report.reason}')


def _may_resume(spec: TaskSpec, report: AttemptReport) -> bool:
    return (
        spec.idempotent
        or spec.owner_kind is Kind.service
        or bool(report.checkpoint)
    )


def _handle_refused(
    spec: TaskSpec,
    report: AttemptReport,
    policy: FailurePolicy,
) -> TaskSpec | None:
    if spec.state is TaskState.waiting:
        return None
    if spec.state is TaskState.stopping:
        return attrs.evolve(spec, state=TaskState.cancelled)
    return requeue(spec, f'not started on {spec.worker}: {report.reason}')


def _handle_lost(
    spec: TaskSpec,
    report: AttemptReport,
    policy: FailurePolicy,
) -> TaskSpec | None:
    lost = apply_loss(spec, f'lost on {spec.worker}: {report.reason}')
    if lost is None or report.crash is CrashSuspicion.none:
        return lost
    if spec.state not in _CRASHING_STATES or lost.state is not _WAITING:
        return lost
    return apply_crash(lost, spec.worker, report.crash)


_ReportHandler = Callable[
    [TaskSpec, AttemptReport, FailurePolicy],
    TaskSpec | None,
]

_handlers_by_state: dict[AttemptState, _ReportHandler] = {
    AttemptState.running: _handle_running,
    AttemptState.finished: _handle_finished,
    AttemptState.failed: _handle_failed,
    AttemptState.stopped: _handle_stopped,
    AttemptState.refused: _handle_refused,
    AttemptState.lost: _handle_lost,
}

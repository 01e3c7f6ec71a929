"""Life of a task: what the report of an attempt means for it.

Each rule returns the task's next state, or ``None`` when nothing changes.
A report of another attempt than the committed one changes nothing.
"""

from collections.abc import Callable
from typing import final

import attrs

from wasabiturn.messages.kinds import AttemptState, Kind, TaskState
from wasabiturn.messages.session import AttemptReport
from wasabiturn.messages.state import TaskSpec

HOLDING = frozenset(
    (
        TaskState.assigned,
        TaskState.running,
        TaskState.evicting,
        TaskState.stopping,
    )
)
TERMINAL = frozenset(
    (
        TaskState.finished,
        TaskState.failed,
        TaskState.cancelled,
    )
)
_SETTLED = TERMINAL | {TaskState.impossible}
_MAX_REASON_CHARACTERS = 200


@final
@attrs.frozen
class OwnerRules:
    """What the owner of a task says about failures."""

    max_failures: int = 0


def after_report(
    spec: TaskSpec,
    report: AttemptReport,
    rules: OwnerRules,
) -> TaskSpec | None:
    """Return ``spec`` after what an agent reported of its attempt."""
    if report.attempt != spec.attempt or spec.state in _SETTLED:
        return None
    rule = _rules_by_state.get(report.state)
    return rule(spec, report, rules) if rule else None


def after_loss(spec: TaskSpec, reason: str) -> TaskSpec | None:
    """Return ``spec`` once its attempt has ended without a known outcome."""
    if spec.state not in HOLDING:
        return None
    if spec.state is TaskState.stopping and spec.idempotent:
        return attrs.evolve(spec, state=TaskState.cancelled, reason=reason)
    if spec.idempotent or spec.owner_kind is Kind.service:
        return requeue(spec, reason)
    return attrs.evolve(spec, state=TaskState.outcome_unknown, reason=reason)


def requeue(spec: TaskSpec, reason: str) -> TaskSpec:
    """Return ``spec`` waiting for its next attempt."""
    return attrs.evolve(
        spec,
        state=TaskState.waiting,
        worker='',
        incarnation='',
        reason=reason[:_MAX_REASON_CHARACTERS],
    )


def _after_running(
    spec: TaskSpec,
    report: AttemptReport,
    rules: OwnerRules,
) -> TaskSpec | None:
    if spec.state is not TaskState.assigned:
        return None
    return attrs.evolve(spec, state=TaskState.running)


def _after_finished(
    spec: TaskSpec,
    report: AttemptReport,
    rules: OwnerRules,
) -> TaskSpec | None:
    if spec.owner_kind is not Kind.service:
        return attrs.evolve(spec, state=TaskState.finished, reason='finished')
    if spec.state is TaskState.stopping:
        return attrs.evolve(spec, state=TaskState.cancelled)
    if spec.state in HOLDING:
        return requeue(spec, 'replica ended')
    return None


def _after_failed(
    spec: TaskSpec,
    report: AttemptReport,
    rules: OwnerRules,
) -> TaskSpec | None:
    if spec.state is TaskState.waiting:
        return None
    failed = attrs.evolve(spec, failures=spec.failures + 1)
    reason = f'failed on {spec.worker}: {report.reason}'
    if spec.state is TaskState.stopping:
        return attrs.evolve(failed, state=TaskState.cancelled, reason=reason)
    if spec.owner_kind is Kind.service:
        return requeue(failed, reason)
    if spec.idempotent and failed.failures <= rules.max_failures:
        return requeue(failed, reason)
    return attrs.evolve(failed, state=TaskState.failed, reason=reason)


def _after_stopped(
    spec: TaskSpec,
    report: AttemptReport,
    rules: OwnerRules,
) -> TaskSpec | None:
    if spec.state is TaskState.stopping:
        return attrs.evolve(spec, state=TaskState.cancelled)
    if spec.state is TaskState.evicting and _may_resume(spec, report):
        kept = report.checkpoint or spec.checkpoint
        evictions = spec.evictions + 1
        evicted = attrs.evolve(spec, checkpoint=kept, evictions=evictions)
        return requeue(evicted, f'evicted: {spec.reason}')
    kept = report.checkpoint or spec.checkpoint
    stopped = attrs.evolve(spec, checkpoint=kept)
    return after_loss(stopped, f'stopped on {spec.worker}: {report.reason}')


def _may_resume(spec: TaskSpec, report: AttemptReport) -> bool:
    return (
        spec.idempotent
        or spec.owner_kind is Kind.service
        or bool(report.checkpoint)
    )


def _after_refused(
    spec: TaskSpec,
    report: AttemptReport,
    rules: OwnerRules,
) -> TaskSpec | None:
    if spec.state is TaskState.waiting:
        return None
    if spec.state is TaskState.stopping:
        return attrs.evolve(spec, state=TaskState.cancelled)
    return requeue(spec, f'not started on {spec.worker}: {report.reason}')


def _after_lost(
    spec: TaskSpec,
    report: AttemptReport,
    rules: OwnerRules,
) -> TaskSpec | None:
    return after_loss(spec, f'lost on {spec.worker}: {report.reason}')


_Rule = Callable[[TaskSpec, AttemptReport, OwnerRules], TaskSpec | None]

_rules_by_state: dict[AttemptState, _Rule] = {
    AttemptState.running: _after_running,
    AttemptState.finished: _after_finished,
    AttemptState.failed: _after_failed,
    AttemptState.stopped: _after_stopped,
    AttemptState.refused: _after_refused,
    AttemptState.lost: _after_lost,
}

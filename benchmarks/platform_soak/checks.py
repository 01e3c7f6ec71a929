"""Checks of the promises on what callers and workers have seen."""

from collections import defaultdict
from collections.abc import Iterable
from typing import final

import attrs

from benchmarks.platform_soak.callers import Job
from benchmarks.platform_soak.calls import NO_ANSWER
from benchmarks.platform_soak.faults import FaultKind
from benchmarks.platform_soak.journal import (
    ACKNOWLEDGED,
    BEGIN,
    END,
    CallEvent,
    FaultEvent,
    Journal,
    RunEvent,
)
from benchmarks.platform_soak.settings import GRACE_SECONDS
from benchmarks.soak.checker import Report

# A task may start so long after its job was shown as done, by an order that was
# already out.
SHOWN_SLACK_SECONDS = 1.0
# An entry counts as undisturbed this long after a fault of it was undone.
CONTACT_SECONDS = 3.0
# A program serves so long after its start, also on a busy machine.
START_SECONDS = 20.0
# Until then after its stop was asked for, an entry serves new connections.
SERVES_AFTER_STOP_SECONDS = 2.5
DONE = 'done'
_RunKey = tuple[str, int]


def check_runs(report: Report, runs: Iterable[RunEvent]) -> None:
    """Check that no task runs twice at once or after an acknowledged end."""
    active: dict[str, set[_RunKey]] = defaultdict(set)
    done_by_task: dict[str, RunEvent] = {}
    for event in runs:
        key = (event.worker, event.run)
        if event.what == END:
            active[event.task].discard(key)
        elif event.what == ACKNOWLEDGED and event.ending == DONE:
            done_by_task.setdefault(event.task, event)
        elif event.what == BEGIN:
            others = active[event.task]
            report.check('no task twice at once', not others, f'{event}')
            done = done_by_task.get(event.task)
            detail = f'{event} after {done}'
            report.check('no start after a done end', done is None, detail)
            others.add(key)


def check_jobs(
    report: Report, jobs: Iterable[Job], runs: Iterable[RunEvent]
) -> None:
    """Check that each job is kept, done, and shown as it is."""
    events_by_job: dict[str, list[RunEvent]] = defaultdict(list)
    for event in runs:
        events_by_job[event.job].append(event)
    for job in jobs:
        events = events_by_job[job.job_id]
        if job.is_rejected and job.accepted_at is None:
            report.check('a rejected job never runs', not events, f'{job}')
        if job.accepted_at is not None:
            _check_accepted(report, job, events)


def _check_accepted(report: Report, job: Job, events: list[RunEvent]) -> None:
    is_done = job.state == DONE
    report.check('an accepted job is done', is_done, f'{job}')
    report.check('an accepted job is known', job.gone_at is None, f'{job}')
    shown_at = job.final_at
    if not is_done or shown_at is None:
        return
    ended = {
        event.task
        for event in events
        if event.what == END and event.ending == DONE and event.at <= shown_at
    }
    missing = set(job.tasks()) - ended
    report.check('a job shown as done is', not missing, f'{job}: {missing}')
    late = [
        event
        for event in events
        if event.what == BEGIN and event.at > shown_at + SHOWN_SLACK_SECONDS
    ]
    report.check('no start of a job shown as done', not late, f'{late}')


def check_calls(report: Report, journal: Journal) -> None:
    """Check that entries without a fault answer each call."""
    for entry in sorted({call.entry for call in journal.calls}):
        calls = [call for call in journal.calls if call.entry == entry]
        excuses = [
            _create_excuse(fault, calls)
            for fault in journal.faults
            if fault.target == entry
        ]
        for call in calls:
            if not any(excuse.holds_for(call) for excuse in excuses):
                is_answered = call.status != NO_ANSWER
                report.check('an entry answers', is_answered, f'{call}')


@final
@attrs.frozen
class _Excuse:
    """Time in which an entry need not answer calls."""

    begins_at: float
    ends_at: float
    # A stopping entry answers the calls that it has read before.
    answers_earlier: bool

    def holds_for(self, call: CallEvent) -> bool:
        at = call.sent_at if self.answers_earlier else call.ended_at
        return self.begins_at < at and call.sent_at < self.ends_at


def _create_excuse(fault: FaultEvent, calls: list[CallEvent]) -> _Excuse:
    """Return the excuse of one entry, whose ``calls`` are these.

    It gets calls again once it has answered one, as readiness checks would
    tell, or must have started.
    """
    is_restart = fault.kind == FaultKind.restart.value
    undone_at = fault.at + fault.seconds + GRACE_SECONDS * is_restart
    start_is_due_at = undone_at + START_SECONDS
    answers = (
        call.ended_at
        for call in calls
        if call.sent_at > undone_at and call.status != NO_ANSWER
    )
    ready_at = min(answers, default=start_is_due_at)
    return _Excuse(
        begins_at=fault.at + SERVES_AFTER_STOP_SECONDS * is_restart,
        ends_at=max(
            min(ready_at, start_is_due_at), undone_at + CONTACT_SECONDS
        ),
        answers_earlier=is_restart,
    )

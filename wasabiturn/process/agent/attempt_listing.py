"""Application of the worker's listings to the attempts of an agent."""

from wasabiturn.connection.worker_messages import Listing, Run, RunName
from wasabiturn.messages.kinds import AttemptState, CrashSuspicion
from wasabiturn.process.agent.attempt_actions import Action, StopRun
from wasabiturn.process.agent.attempt_table import (
    ENDED_STATES,
    AttemptTable,
    TrackedAttempt,
)
from wasabiturn.request.suspects import assess_suspicion
from wasabiturn.version.placement.periods import (
    PERMIT_SECONDS,
    TASK_LEASE_SECONDS,
    latest_expiry,
)

# An attempt that has run for this long does not crash its worker.
CLEARED_AFTER_SECONDS = 60.0


def apply_listing(
    table: AttemptTable,
    listing: Listing,
    requested_at: float,
) -> list[Action]:
    """Apply the worker's listing, which was requested at ``requested_at``."""
    table.capacity = listing.capacity
    table.is_worker_down = False
    table.listed_at = max(table.listed_at, requested_at)
    earlier_permits_end = latest_expiry(table.started_at, PERMIT_SECONDS)
    if requested_at > earlier_permits_end:
        table.reconciled = True
    actions: list[Action] = []
    for run in listing.runs:
        actions.extend(_apply_run(table, run, requested_at))
    listed = {each.task: each.attempt for each in listing.runs}
    if table.worker_incarnation not in {'', listing.incarnation}:
        _suspect_absent(table, listed, requested_at)
    table.worker_incarnation = listing.incarnation
    for tracked in table.tracked_by_task.values():
        if listed.get(tracked.task, 0) < tracked.attempt:
            _apply_absence(tracked, listing, requested_at)
    _resolve_adoptions(table, listed, requested_at)
    return actions


def apply_worker_down(table: AttemptTable, now: float) -> None:
    """Apply that nothing listens at the worker: it has crashed."""
    table.reconciled = False
    table.is_worker_down = True
    _suspect_absent(table, {}, now)


def _suspect_absent(
    table: AttemptTable,
    listed: dict[str, int],
    requested_at: float,
) -> None:
    """Record which attempts may have crashed the worker.

    An attempt that had run for ``CLEARED_AFTER_SECONDS`` is no suspect.
    """
    suspects = {
        tracked.task: tracked
        for tracked in table.tracked_by_task.values()
        if tracked.state not in ENDED_STATES
        and tracked.crash is CrashSuspicion.none
        and listed.get(tracked.task, 0) < tracked.attempt
        and requested_at - tracked.ordered_at < CLEARED_AFTER_SECONDS
    }
    crashes_by_task = {
        task: tracked.crashes for task, tracked in suspects.items()
    }
    for task, tracked in suspects.items():
        tracked.crash = assess_suspicion(task, crashes_by_task)


def _apply_run(
    table: AttemptTable,
    run: Run,
    requested_at: float,
) -> list[Action]:
    tracked = table.tracked_by_task.get(run.task)
    newest = table.newest_attempt_by_task.get(run.task, 0)
    if run.attempt < newest:
        if run.state in ENDED_STATES:
            return []
        return [StopRun(RunName(task=run.task, attempt=run.attempt))]
    if tracked is None or run.attempt > tracked.attempt:
        table.track(
            TrackedAttempt(
                task=run.task,
                attempt=run.attempt,
                state=AttemptState.unknown,
                size=run.size,
                lease_until=latest_expiry(requested_at, TASK_LEASE_SECONDS),
                ordered_at=requested_at,
            ),
        )
    _update(table.tracked_by_task[run.task], run, requested_at)
    return []


def _update(tracked: TrackedAttempt, run: Run, requested_at: float) -> None:
    if tracked.state in ENDED_STATES and tracked.state is not AttemptState.lost:
        return
    if run.state in ENDED_STATES:
        tracked.end(run.state, run.reason)
    elif tracked.state is AttemptState.lost:
        return
    elif tracked.state is not run.state:
        tracked.state = run.state
        tracked.state_since = requested_at
    tracked.crash = CrashSuspicion.none
    tracked.run_seconds = run.run_seconds
    tracked.checkpoint = run.checkpoint or tracked.checkpoint


def _apply_absence(
    tracked: TrackedAttempt,
    listing: Listing,
    requested_at: float,
) -> None:
    if tracked.state is AttemptState.starting:
        if requested_at > tracked.start_until:
            _end_absent_start(tracked, listing)
    elif tracked.state is AttemptState.running and _is_newer(
        tracked, requested_at
    ):
        tracked.end(AttemptState.lost, 'the worker does not list it')


def _end_absent_start(tracked: TrackedAttempt, listing: Listing) -> None:
    """End an attempt whose start got no answer and is not listed.

    A worker that has restarted since may have run it before.
    """
    if tracked.worker_incarnation == listing.incarnation:
        tracked.end(AttemptState.refused, 'the platform did not start it')
    else:
        tracked.end(AttemptState.lost, 'the worker restarted after the order')


def _is_newer(tracked: TrackedAttempt, requested_at: float) -> bool:
    return requested_at > tracked.state_since


def _resolve_adoptions(
    table: AttemptTable,
    listed: dict[str, int],
    requested_at: float,
) -> None:
    for task, (attempt, ordered_at) in list(table.adoptions_by_task.items()):
        if requested_at <= ordered_at:
            continue
        table.adoptions_by_task.pop(task)
        if task not in table.tracked_by_task and task not in listed:
            tracked = TrackedAttempt(
                task=task, attempt=attempt, state=AttemptState.lost
            )
            tracked.reason = 'the worker does not list it'
            table.track(tracked)

"""Attempts that an agent tracks, with their permits, leases and capacity.

This module does no I/O: the caller carries out the returned actions and
passes in the worker's listings. Times are in seconds of the agent's reactor.
"""

from typing import final

import attrs

from wasabiturn.connection.worker_messages import RunName
from wasabiturn.messages.kinds import AttemptState, CrashSuspicion
from wasabiturn.messages.session import AttemptReport
from wasabiturn.messages.state import Capacity
from wasabiturn.process.agent.attempt_actions import Action, CheckpointRun
from wasabiturn.version.placement.capacity import add, fits
from wasabiturn.version.placement.periods import (
    DRIFT_SHARE,
    TASK_LEASE_SECONDS,
)

REMEMBERED_HEARTBEATS = 64
REMEMBERED_ATTEMPTS = 10_000
FULL_SPEED = 1.0
# No attempts are started if the newest listing of the worker is older.
START_LISTING_AGE_SECONDS = 2.0
# Attempts are checkpointed this long before their lease ends.
CHECKPOINT_LEAD_SECONDS = 4.0
# Margin for clock drift, after which a lease has ended on any clock.
LEASE_MARGIN_SECONDS = TASK_LEASE_SECONDS * DRIFT_SHARE

ENDED_STATES = frozenset(
    (
        AttemptState.finished,
        AttemptState.failed,
        AttemptState.stopped,
        AttemptState.refused,
        AttemptState.lost,
    )
)


@final
@attrs.define
class TrackedAttempt:
    """One attempt that the agent tracks or still has to report."""

    task: str
    attempt: int
    state: AttemptState
    size: Capacity = attrs.field(factory=Capacity)
    checkpoint: str = ''
    reason: str = ''
    run_seconds: float = 0.0
    throttle: float = FULL_SPEED
    start_until: float = 0.0
    lease_until: float = 0.0
    # When the start was ordered, or when an attempt to adopt was first listed.
    ordered_at: float = 0.0
    # Lease end for which a checkpoint was last requested.
    checkpointed_lease_until: float = 0.0
    # Older listings do not show the present state yet.
    state_since: float = 0.0
    # Incarnation of the worker that was last listed before the start order.
    worker_incarnation: str = ''
    # Crashes of workers under earlier attempts of the task.
    crashes: int = 0
    # Suspicion of the attempt after a crash of this worker.
    crash: CrashSuspicion = CrashSuspicion.none
    # Heartbeat that first reported the end of the attempt; 0 if none did.
    reported_sequence: int = 0

    def name(self) -> RunName:
        """Return the name of the attempt on the worker."""
        return RunName(task=self.task, attempt=self.attempt)

    def end(self, state: AttemptState, reason: str) -> None:
        """Record the end of the attempt."""
        self.state = state
        self.reason = reason
        self.reported_sequence = 0

    def report(self, sequence: int) -> AttemptReport:
        """Report the attempt in the heartbeat numbered ``sequence``."""
        if self.state in ENDED_STATES:
            self.reported_sequence = self.reported_sequence or sequence
        return AttemptReport(
            task=self.task,
            attempt=self.attempt,
            state=self.state,
            checkpoint=self.checkpoint,
            reason=self.reason,
            run_seconds=self.run_seconds,
            crash=self.crash,
        )


@final
@attrs.frozen(order=True)
class OrdersKey:
    """Position of orders in time; older orders are ignored."""

    sequence: int
    revision: int
    serial: int


@final
@attrs.define
class AttemptTable:
    """Attempts of a worker, as known to one incarnation of its agent."""

    started_at: float
    capacity: Capacity = attrs.field(factory=Capacity)
    # Time when the newest listing was requested.
    listed_at: float = float('-inf')
    worker_incarnation: str = ''
    # Whether nothing listened at the worker when it was last called.
    is_worker_down: bool = False
    # Whether starts are allowed: the worker is listed, and no start that an
    # earlier incarnation of the agent requested can still take place.
    reconciled: bool = False
    sequence: int = 0
    newest_orders: OrdersKey = OrdersKey(0, 0, 0)
    sent_at_by_sequence: dict[int, float] = attrs.field(factory=dict)
    tracked_by_task: dict[str, TrackedAttempt] = attrs.field(factory=dict)
    newest_attempt_by_task: dict[str, int] = attrs.field(factory=dict)
    # Attempt and time of each order to adopt a task that is not tracked.
    adoptions_by_task: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def next_sequence(self, now: float) -> int:
        """Return the sequence number of the heartbeat that is sent now."""
        self.sequence += 1
        self.sent_at_by_sequence[self.sequence] = now
        forgotten = self.sequence - REMEMBERED_HEARTBEATS
        self.sent_at_by_sequence.pop(forgotten, None)
        return self.sequence

    def list_reports(self) -> list[AttemptReport]:
        """Return reports of all tracked attempts for the present heartbeat."""
        return [
            tracked.report(self.sequence)
            for tracked in self.tracked_by_task.values()
        ]

    def track(self, tracked: TrackedAttempt) -> None:
        """Track an attempt; older attempts of its task may not start."""
        self.tracked_by_task[tracked.task] = tracked
        self.newest_attempt_by_task.pop(tracked.task, None)
        self.newest_attempt_by_task[tracked.task] = tracked.attempt
        if len(self.newest_attempt_by_task) > REMEMBERED_ATTEMPTS:
            oldest = next(iter(self.newest_attempt_by_task))
            self.newest_attempt_by_task.pop(oldest)

    def has_room(self, size: Capacity) -> bool:
        """Return whether ``size`` fits beside attempts that may be running."""
        used = size
        for tracked in self.tracked_by_task.values():
            if tracked.state not in ENDED_STATES:
                used = add(used, tracked.size)
        return fits(used, self.capacity)


def confirm_start(tracked: TrackedAttempt, now: float) -> None:
    """Record that the worker has confirmed the start of an attempt."""
    if tracked.state is AttemptState.starting:
        tracked.state = AttemptState.running
        tracked.state_since = now


def check_leases(table: AttemptTable, now: float) -> list[Action]:
    """Handle leases that end because the leader or the worker is silent.

    No attempts are started while the newest listing is too old. An attempt
    is checkpointed shortly before its lease ends, and is considered lost once
    the lease has ended even by a slow clock.
    """
    if now - table.listed_at > START_LISTING_AGE_SECONDS:
        table.reconciled = False
    actions: list[Action] = []
    for tracked in table.tracked_by_task.values():
        if tracked.state in ENDED_STATES:
            continue
        remaining = tracked.lease_until - now
        if remaining < -LEASE_MARGIN_SECONDS:
            tracked.end(AttemptState.lost, 'its lease ended')
        elif remaining < CHECKPOINT_LEAD_SECONDS and _lacks_checkpoint(tracked):
            tracked.checkpointed_lease_until = tracked.lease_until
            actions.append(CheckpointRun(tracked.name()))
    return actions


def _lacks_checkpoint(tracked: TrackedAttempt) -> bool:
    """Return whether no checkpoint was requested for the present lease."""
    is_running = tracked.state is AttemptState.running
    return is_running and tracked.checkpointed_lease_until < tracked.lease_until


def create_attempt_table(now: float) -> AttemptTable:
    """Create the empty table of an agent that started at ``now``."""
    return AttemptTable(started_at=now)

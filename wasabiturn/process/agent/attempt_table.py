"""Attempts that an agent holds: permits, leases and capacity, checked again.

Pure: the I/O beside it carries out the returned actions and feeds back what
the worker lists. Times are loop seconds of the agent.
"""

from typing import final

import attrs

from wasabiturn.connection.worker_messages import Listing, Run, RunName
from wasabiturn.messages.kinds import AttemptState
from wasabiturn.messages.session import AttemptReport
from wasabiturn.messages.state import Capacity
from wasabiturn.process.agent.attempt_actions import (
    Action,
    CheckpointRun,
    StopRun,
)
from wasabiturn.version.placement.capacity import add, fits
from wasabiturn.version.placement.periods import (
    DRIFT_SHARE,
    PERMIT_SECONDS,
    TASK_LEASE_SECONDS,
    latest_expiry,
)

REMEMBERED_HEARTBEATS = 64
REMEMBERED_ATTEMPTS = 10_000
FULL_SPEED = 1.0
# A worker that was listed within this time takes starts.
LISTING_SECONDS = 2.0
CHECKPOINT_SECONDS = 4.0
LEASE_MARGIN_SECONDS = TASK_LEASE_SECONDS * DRIFT_SHARE

ENDED = frozenset(
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
class Held:
    """One attempt that the agent holds or has to report."""

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
    checkpointed_until: float = 0.0
    known_since: float = 0.0
    reported_in: int = 0

    def name(self) -> RunName:
        """Return the name of the attempt on the worker."""
        return RunName(task=self.task, attempt=self.attempt)

    def end(self, state: AttemptState, reason: str) -> None:
        """Take the end of the attempt."""
        self.state = state
        self.reason = reason
        self.reported_in = 0

    def report(self, sequence: int) -> AttemptReport:
        """Report the attempt in the heartbeat numbered ``sequence``."""
        if self.state in ENDED:
            self.reported_in = self.reported_in or sequence
        return AttemptReport(
            task=self.task,
            attempt=self.attempt,
            state=self.state,
            checkpoint=self.checkpoint,
            reason=self.reason,
            run_seconds=self.run_seconds,
        )


@final
@attrs.frozen(order=True)
class OrdersKey:
    """Order in which a leader decided; older orders are dropped."""

    sequence: int
    revision: int
    serial: int


@final
@attrs.define
class AttemptTable:
    """All that one incarnation of an agent knows of its worker's attempts."""

    started_at: float
    capacity: Capacity = attrs.field(factory=Capacity)
    listed_at: float = float('-inf')
    reconciled: bool = False
    sequence: int = 0
    newest_orders: OrdersKey = OrdersKey(0, 0, 0)
    sent_at_by_sequence: dict[int, float] = attrs.field(factory=dict)
    held_by_task: dict[str, Held] = attrs.field(factory=dict)
    newest_attempt_by_task: dict[str, int] = attrs.field(factory=dict)
    asked_at_by_task: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def next_sequence(self, now: float) -> int:
        """Number the heartbeat that is sent now."""
        self.sequence += 1
        self.sent_at_by_sequence[self.sequence] = now
        forgotten = self.sequence - REMEMBERED_HEARTBEATS
        self.sent_at_by_sequence.pop(forgotten, None)
        return self.sequence

    def list_reports(self) -> list[AttemptReport]:
        """Report every held attempt in the heartbeat that is sent now."""
        return [
            held.report(self.sequence) for held in self.held_by_task.values()
        ]

    def hold(self, held: Held) -> None:
        """Hold an attempt; remembers that no older one may start."""
        self.held_by_task[held.task] = held
        self.newest_attempt_by_task.pop(held.task, None)
        self.newest_attempt_by_task[held.task] = held.attempt
        if len(self.newest_attempt_by_task) > REMEMBERED_ATTEMPTS:
            oldest = next(iter(self.newest_attempt_by_task))
            self.newest_attempt_by_task.pop(oldest)

    def has_room(self, size: Capacity) -> bool:
        """Tell whether ``size`` fits beside what may be running."""
        used = size
        for held in self.held_by_task.values():
            if held.state not in ENDED:
                used = add(used, held.size)
        return fits(used, self.capacity)


def confirm_start(held: Held, now: float) -> None:
    """Take the platform's word that an attempt was started."""
    if held.state is AttemptState.starting:
        held.state = AttemptState.running
        held.known_since = now


def review_leases(table: AttemptTable, now: float) -> list[Action]:
    """Act on leases that end because the leader or the worker is silent.

    A worker that was not listed for a while takes no starts. An attempt is
    checkpointed shortly before its lease ends, and lost once it surely has.
    """
    if now - table.listed_at > LISTING_SECONDS:
        table.reconciled = False
    actions: list[Action] = []
    for held in table.held_by_task.values():
        if held.state in ENDED:
            continue
        left = held.lease_until - now
        if left < -LEASE_MARGIN_SECONDS:
            held.end(AttemptState.lost, 'its lease ended')
        elif left < CHECKPOINT_SECONDS and _lacks_checkpoint(held):
            held.checkpointed_until = held.lease_until
            actions.append(CheckpointRun(held.name()))
    return actions


def _lacks_checkpoint(held: Held) -> bool:
    """Tell whether none was asked for since the lease was last prolonged."""
    is_running = held.state is AttemptState.running
    return is_running and held.checkpointed_until < held.lease_until


def create_attempt_table(now: float) -> AttemptTable:
    """Create the empty table of an agent that started at ``now``."""
    return AttemptTable(started_at=now)


def take_listing(
    table: AttemptTable,
    listing: Listing,
    requested_at: float,
) -> list[Action]:
    """Take the worker's listing, which was requested at ``requested_at``."""
    table.capacity = listing.capacity
    table.listed_at = max(table.listed_at, requested_at)
    earlier_permits_end = latest_expiry(table.started_at, PERMIT_SECONDS)
    if requested_at > earlier_permits_end:
        table.reconciled = True
    actions: list[Action] = []
    for run in listing.runs:
        actions.extend(_take_run(table, run, requested_at))
    listed = {each.task: each.attempt for each in listing.runs}
    for held in table.held_by_task.values():
        if listed.get(held.task, 0) < held.attempt:
            _take_absence(held, requested_at)
    _answer_asked(table, listed, requested_at)
    return actions


def _take_run(
    table: AttemptTable,
    run: Run,
    requested_at: float,
) -> list[Action]:
    held = table.held_by_task.get(run.task)
    newest = table.newest_attempt_by_task.get(run.task, 0)
    if run.attempt < newest:
        if run.state in ENDED:
            return []
        return [StopRun(RunName(task=run.task, attempt=run.attempt))]
    if held is None or run.attempt > held.attempt:
        table.hold(
            Held(
                task=run.task,
                attempt=run.attempt,
                state=AttemptState.unknown,
                size=run.size,
                lease_until=latest_expiry(requested_at, TASK_LEASE_SECONDS),
            ),
        )
    _update(table.held_by_task[run.task], run, requested_at)
    return []


def _update(held: Held, run: Run, requested_at: float) -> None:
    if held.state in ENDED and held.state is not AttemptState.lost:
        return
    if run.state in ENDED:
        held.end(run.state, run.reason)
    elif held.state is AttemptState.lost:
        return
    elif held.state is not run.state:
        held.state = run.state
        held.known_since = requested_at
    held.run_seconds = run.run_seconds
    held.checkpoint = run.checkpoint or held.checkpoint


def _take_absence(held: Held, requested_at: float) -> None:
    if held.state is AttemptState.starting:
        if requested_at > held.start_until:
            held.end(AttemptState.refused, 'the platform did not start it')
    elif held.state is AttemptState.running and _is_newer(held, requested_at):
        held.end(AttemptState.lost, 'the worker does not list it')


def _is_newer(held: Held, requested_at: float) -> bool:
    return requested_at > held.known_since


def _answer_asked(
    table: AttemptTable,
    listed: dict[str, int],
    requested_at: float,
) -> None:
    for task, (attempt, asked_at) in list(table.asked_at_by_task.items()):
        if requested_at <= asked_at:
            continue
        table.asked_at_by_task.pop(task)
        if task not in table.held_by_task and task not in listed:
            held = Held(task=task, attempt=attempt, state=AttemptState.lost)
            held.reason = 'the worker does not list it'
            table.hold(held)

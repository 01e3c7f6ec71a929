"""Apply the leader's orders to the attempts of an agent."""

from typing import final

import attrs

from wasabiturn.connection.worker_messages import RunRequest
from wasabiturn.messages.kinds import AttemptState, Kind, OrderAction
from wasabiturn.messages.session import Order, Orders
from wasabiturn.messages.state import TaskSpec
from wasabiturn.process.agent.attempt_actions import (
    Action,
    EvictRun,
    ForgetRun,
    RenewLeases,
    StartRun,
    StopRun,
    ThrottleRun,
)
from wasabiturn.process.agent.attempt_table import (
    ENDED_STATES,
    AttemptTable,
    OrdersKey,
    TrackedAttempt,
)

# Leases are not renewed if the newest listing of the worker is older.
RENEWAL_LISTING_AGE_SECONDS = 5.0

_NO_PERMIT = float('-inf')


@final
@attrs.frozen
class _Grant:
    """Times up to which orders permit starts and runs, in reactor seconds."""

    start_until: float
    lease_until: float
    sequence: int


def apply_orders(
    table: AttemptTable,
    orders: Orders,
    now: float,
) -> list[Action]:
    """Return actions for the worker; outdated orders are ignored."""
    key = OrdersKey(orders.sequence, orders.revision, orders.serial)
    sent_at = table.sent_at_by_sequence.get(orders.sequence)
    if sent_at is None or key <= table.newest_orders:
        return []
    table.newest_orders = key
    permit = sent_at + orders.permit_seconds
    grant = _Grant(
        start_until=permit if orders.may_start else _NO_PERMIT,
        lease_until=sent_at + orders.lease_seconds,
        sequence=orders.sequence,
    )
    actions: list[Action] = []
    for order in orders.orders:
        actions.extend(_apply_order(table, order, grant, now))
    if now - table.listed_at <= RENEWAL_LISTING_AGE_SECONDS:
        actions.extend(_renew_leases(table, orders.orders, grant))
    actions.extend(_handle_omitted(table, orders.orders, grant))
    return actions


def _apply_order(
    table: AttemptTable,
    order: Order,
    grant: _Grant,
    now: float,
) -> list[Action]:
    tracked = table.tracked_by_task.get(order.task)
    if tracked is None:
        return _apply_to_untracked(table, order, grant, now)
    if order.attempt < tracked.attempt:
        return []
    if order.attempt > tracked.attempt:
        return _replace_attempt(table, tracked, order, grant, now)
    return _apply_to_tracked(tracked, order)


def _apply_to_untracked(
    table: AttemptTable,
    order: Order,
    grant: _Grant,
    now: float,
) -> list[Action]:
    if order.action is OrderAction.adopt:
        table.adoptions_by_task.setdefault(order.task, (order.attempt, now))
        return []
    if order.action is OrderAction.hold:
        return []
    newest = table.newest_attempt_by_task.get(order.task, 0)
    if order.attempt <= newest:
        _track_ended(table, order, AttemptState.lost, 'seen before')
        return []
    if order.action is OrderAction.start:
        return _start(table, order, grant, now)
    _track_ended(
        table, order, AttemptState.refused, 'recalled before its start'
    )
    return []


def _replace_attempt(
    table: AttemptTable,
    tracked: TrackedAttempt,
    order: Order,
    grant: _Grant,
    now: float,
) -> list[Action]:
    """Replace an ended attempt; stop it first if it may be running."""
    if tracked.state not in ENDED_STATES:
        return [StopRun(tracked.name())]
    table.tracked_by_task.pop(tracked.task)
    forgotten: list[Action] = [ForgetRun(tracked.name())]
    return forgotten + _apply_to_untracked(table, order, grant, now)


def _apply_to_tracked(tracked: TrackedAttempt, order: Order) -> list[Action]:
    if tracked.state is not AttemptState.running:
        return []
    if order.action is OrderAction.stop:
        return [StopRun(tracked.name())]
    if order.action is OrderAction.evict:
        return [EvictRun(tracked.name(), _may_lose_progress(order.spec))]
    if order.throttle != tracked.throttle:
        tracked.throttle = order.throttle
        return [ThrottleRun(tracked.name(), order.throttle)]
    return []


def _may_lose_progress(spec: TaskSpec | None) -> bool:
    if spec is None:
        return False
    return spec.idempotent or spec.owner_kind is Kind.service


def _start(
    table: AttemptTable,
    order: Order,
    grant: _Grant,
    now: float,
) -> list[Action]:
    if now >= grant.start_until or order.spec is None:
        return []
    if table.is_worker_down:
        _track_ended(table, order, AttemptState.refused, 'worker is down')
        return []
    if not table.reconciled:
        return []
    spec = order.spec
    if not table.has_room(spec.size):
        _track_ended(table, order, AttemptState.refused, 'over capacity')
        return []
    table.track(
        TrackedAttempt(
            task=order.task,
            attempt=order.attempt,
            state=AttemptState.starting,
            size=spec.size,
            checkpoint=spec.checkpoint,
            throttle=order.throttle,
            start_until=grant.start_until,
            lease_until=grant.lease_until,
            ordered_at=now,
            worker_incarnation=table.worker_incarnation,
            crashes=len(spec.crashed_workers),
        ),
    )
    request = _create_run_request(order, grant, table.worker_incarnation)
    return [StartRun(request)]


def _create_run_request(
    order: Order, grant: _Grant, worker_incarnation: str
) -> RunRequest:
    spec = order.spec
    if spec is None:
        raise TypeError('order to start an attempt has no task spec')
    return RunRequest(
        task=order.task,
        attempt=order.attempt,
        size=spec.size,
        task_kind=spec.task_kind,
        owner_kind=spec.owner_kind,
        command=order.command,
        checkpoint=spec.checkpoint,
        run_seconds=order.run_seconds,
        throttle=order.throttle,
        start_until=grant.start_until,
        lease_until=grant.lease_until,
        incarnation=worker_incarnation,
    )


def _track_ended(
    table: AttemptTable,
    order: Order,
    state: AttemptState,
    reason: str,
) -> None:
    tracked = TrackedAttempt(
        task=order.task, attempt=order.attempt, state=state
    )
    tracked.reason = reason
    table.track(tracked)


def _renew_leases(
    table: AttemptTable,
    orders: list[Order],
    grant: _Grant,
) -> list[Action]:
    names = []
    for order in orders:
        tracked = table.tracked_by_task.get(order.task)
        if tracked is None or tracked.attempt != order.attempt:
            continue
        if order.action is OrderAction.stop:
            continue
        if tracked.state is AttemptState.running:
            tracked.lease_until = max(tracked.lease_until, grant.lease_until)
            names.append(tracked.name())
    if not names:
        return []
    return [RenewLeases(tuple(names), grant.lease_until)]


def _handle_omitted(
    table: AttemptTable,
    orders: list[Order],
    grant: _Grant,
) -> list[Action]:
    """Stop attempts that have no order; forget ended ones once reported."""
    ordered = {order.task for order in orders}
    actions: list[Action] = []
    for tracked in list(table.tracked_by_task.values()):
        if tracked.task in ordered:
            continue
        if tracked.state is AttemptState.running:
            actions.append(StopRun(tracked.name()))
        elif tracked.state in ENDED_STATES and _was_reported(tracked, grant):
            table.tracked_by_task.pop(tracked.task)
            actions.append(ForgetRun(tracked.name()))
    return actions


def _was_reported(tracked: TrackedAttempt, grant: _Grant) -> bool:
    return 0 < tracked.reported_sequence <= grant.sequence

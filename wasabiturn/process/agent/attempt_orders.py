"""What orders of the leader mean for the attempts of an agent."""

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
    ENDED,
    AttemptTable,
    Held,
    OrdersKey,
)

# Leases of a worker that was not listed for this time run out.
RENEWAL_SECONDS = 5.0

_NO_PERMIT = float('-inf')


@final
@attrs.frozen
class _Grant:
    """What one message of orders permits, in loop seconds of the agent."""

    start_until: float
    lease_until: float
    sequence: int


def take_orders(
    table: AttemptTable,
    orders: Orders,
    now: float,
) -> list[Action]:
    """Return what to ask of the worker; older orders change nothing."""
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
        actions.extend(_take_order(table, order, grant, now))
    if now - table.listed_at <= RENEWAL_SECONDS:
        actions.extend(_renew(table, orders.orders, grant))
    actions.extend(_take_omissions(table, orders.orders, grant))
    return actions


def _take_order(
    table: AttemptTable,
    order: Order,
    grant: _Grant,
    now: float,
) -> list[Action]:
    held = table.held_by_task.get(order.task)
    if held is None:
        return _take_unheld(table, order, grant, now)
    if order.attempt < held.attempt:
        return []
    if order.attempt > held.attempt:
        return _take_newer(table, held, order, grant, now)
    return _take_held(held, order)


def _take_unheld(
    table: AttemptTable,
    order: Order,
    grant: _Grant,
    now: float,
) -> list[Action]:
    if order.action is OrderAction.adopt:
        table.asked_at_by_task.setdefault(order.task, (order.attempt, now))
        return []
    if order.action is OrderAction.hold:
        return []
    newest = table.newest_attempt_by_task.get(order.task, 0)
    if order.attempt <= newest:
        _hold_ended(table, order, AttemptState.lost, 'seen before')
        return []
    if order.action is OrderAction.start:
        return _start(table, order, grant, now)
    _hold_ended(table, order, AttemptState.refused, 'recalled before its start')
    return []


def _take_newer(
    table: AttemptTable,
    held: Held,
    order: Order,
    grant: _Grant,
    now: float,
) -> list[Action]:
    """Replace an ended attempt; one that may run is stopped first."""
    if held.state not in ENDED:
        return [StopRun(held.name())]
    table.held_by_task.pop(held.task)
    forgotten: list[Action] = [ForgetRun(held.name())]
    return forgotten + _take_unheld(table, order, grant, now)


def _take_held(held: Held, order: Order) -> list[Action]:
    if held.state is not AttemptState.running:
        return []
    if order.action is OrderAction.stop:
        return [StopRun(held.name())]
    if order.action is OrderAction.evict:
        return [EvictRun(held.name(), _may_lose_progress(order.spec))]
    if order.throttle != held.throttle:
        held.throttle = order.throttle
        return [ThrottleRun(held.name(), order.throttle)]
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
    if now >= grant.start_until or not table.reconciled or order.spec is None:
        return []
    spec = order.spec
    if not table.has_room(spec.size):
        _hold_ended(table, order, AttemptState.refused, 'over capacity')
        return []
    table.hold(
        Held(
            task=order.task,
            attempt=order.attempt,
            state=AttemptState.starting,
            size=spec.size,
            checkpoint=spec.checkpoint,
            throttle=order.throttle,
            start_until=grant.start_until,
            lease_until=grant.lease_until,
        ),
    )
    return [StartRun(_run_request(order, grant))]


def _run_request(order: Order, grant: _Grant) -> RunRequest:
    spec = order.spec
    if spec is None:
        raise TypeError('an order to start names no task')
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
    )


def _hold_ended(
    table: AttemptTable,
    order: Order,
    state: AttemptState,
    reason: str,
) -> None:
    held = Held(task=order.task, attempt=order.attempt, state=state)
    held.reason = reason
    table.hold(held)


def _renew(
    table: AttemptTable,
    orders: list[Order],
    grant: _Grant,
) -> list[Action]:
    names = []
    for order in orders:
        held = table.held_by_task.get(order.task)
        if held is None or held.attempt != order.attempt:
            continue
        if order.action is OrderAction.stop:
            continue
        if held.state is AttemptState.running:
            held.lease_until = max(held.lease_until, grant.lease_until)
            names.append(held.name())
    if not names:
        return []
    return [RenewLeases(tuple(names), grant.lease_until)]


def _take_omissions(
    table: AttemptTable,
    orders: list[Order],
    grant: _Grant,
) -> list[Action]:
    """Stop what is not ordered; forget ended attempts that control took in."""
    ordered = {order.task for order in orders}
    actions: list[Action] = []
    for held in list(table.held_by_task.values()):
        if held.task in ordered:
            continue
        if held.state is AttemptState.running:
            actions.append(StopRun(held.name()))
        elif held.state in ENDED and _was_reported(held, grant):
            table.held_by_task.pop(held.task)
            actions.append(ForgetRun(held.name()))
    return actions


def _was_reported(held: Held, grant: _Grant) -> bool:
    return 0 < held.reported_in <= grant.sequence

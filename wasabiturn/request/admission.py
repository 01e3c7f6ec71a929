"""Admission control for the slots and connections of a backend server."""

from functools import singledispatch
from typing import final

import attrs

from wasabiturn.ids import Ticket
from wasabiturn.request.admission_events import (
    Arrived,
    DeadlinesChecked,
    Decisions,
    Finished,
    LimitsChanged,
    Refused,
    Withdrawn,
)
from wasabiturn.request.estimates import ServiceTimes
from wasabiturn.request.fair_queue import FairQueue, Waiting

MIN_RETRY_AFTER_SECONDS = 0.05
MAX_WAITING = 2048


@final
@attrs.define
class SlotTable:
    """Requests running on and waiting for one backend server."""

    slots: int
    connections: int
    times: ServiceTimes = attrs.field(factory=ServiceTimes)
    started_by_ticket: dict[Ticket, float] = attrs.field(factory=dict)
    queue: FairQueue = attrs.field(factory=FairQueue)

    @property
    def capacity(self) -> int:
        """Return how many requests may run at once."""
        return min(self.slots, self.connections)

    def expected_wait(self, rank: int, now: float) -> float:
        """Return the seconds until the waiting request at ``rank`` starts.

        A running request is expected to take another mean service time or,
        if that is longer, another as long as it has run so far. A slot whose
        request hangs therefore shortens the expected wait only a little.
        """
        mean = self.times.mean_seconds
        per_second = sum(
            1.0 / max(mean, now - started)
            for started in self.started_by_ticket.values()
        )
        per_second = per_second or max(self.capacity, 1) / mean
        return (rank + 1) / per_second


def create_slot_table(slots: int, connections: int) -> SlotTable:
    """Create a table without running or waiting requests."""
    return SlotTable(slots=slots, connections=connections)


@singledispatch
def apply(event: object, table: SlotTable, now: float) -> Decisions:
    """Apply ``event`` to ``table`` at ``now``, in seconds of reactor time.

    Raises:
        TypeError: no handler is registered for the type of ``event``.
    """
    raise TypeError(f'no admission rule for {type(event).__name__}')


@apply.register
def _(event: Arrived, table: SlotTable, now: float) -> Decisions:
    if now >= event.deadline:
        return _refuse(event.ticket, 0.0, 'deadline has passed')
    if not table.queue and len(table.started_by_ticket) < table.capacity:
        table.started_by_ticket[event.ticket] = now
        return Decisions(started=[event.ticket])
    wait = table.expected_wait(table.queue.rank(event.caller), now)
    if now + wait > _latest_start(event.deadline, table):
        return _refuse(event.ticket, wait, 'cannot start in time')
    table.queue.push(Waiting(event.ticket, event.caller, event.deadline))
    decisions = Decisions()
    if len(table.queue) > MAX_WAITING:
        displaced = table.queue.pop_from_longest().ticket
        decisions = _refuse(displaced, wait, 'queue is full')
    return decisions


@apply.register
def _(event: Finished, table: SlotTable, now: float) -> Decisions:
    started = table.started_by_ticket.pop(event.ticket, None)
    if started is not None:
        table.times.observe(now - started)
    return _fill(table, now)


@apply.register
def _(event: Withdrawn, table: SlotTable, now: float) -> Decisions:
    table.queue.remove(event.ticket)
    return Decisions()


@apply.register
def _(event: LimitsChanged, table: SlotTable, now: float) -> Decisions:
    table.slots = event.slots
    table.connections = event.connections
    return _fill(table, now)


@apply.register
def _(event: DeadlinesChecked, table: SlotTable, now: float) -> Decisions:
    decisions = Decisions()
    rank = 0
    for waiting in list(table.queue.in_service_order()):
        wait = table.expected_wait(rank, now)
        if now + wait > _latest_start(waiting.deadline, table):
            table.queue.remove(waiting.ticket)
            decisions.refused.append(
                _refusal(waiting.ticket, wait, 'cannot start in time'),
            )
        else:
            rank += 1
    return decisions


def _fill(table: SlotTable, now: float) -> Decisions:
    decisions = Decisions()
    while table.queue and len(table.started_by_ticket) < table.capacity:
        waiting = table.queue.pop()
        if now >= waiting.deadline:
            refusal = _refusal(waiting.ticket, 0.0, 'deadline has passed')
            decisions.refused.append(refusal)
        else:
            table.started_by_ticket[waiting.ticket] = now
            decisions.started.append(waiting.ticket)
    return decisions


def _latest_start(deadline: float, table: SlotTable) -> float:
    """Return the latest start that allows an answer by ``deadline``."""
    return deadline - table.times.mean_seconds


def _refuse(ticket: Ticket, wait: float, reason: str) -> Decisions:
    return Decisions(refused=[_refusal(ticket, wait, reason)])


def _refusal(ticket: Ticket, wait: float, reason: str) -> Refused:
    return Refused(
        ticket=ticket,
        retry_after_seconds=max(wait, MIN_RETRY_AFTER_SECONDS),
        reason=reason,
    )

"""Orders without an answer, which the worker may still carry out.

They outlive the incarnation that they were sent to, since the next one under
the same name may carry them out, and what the leader still orders.
"""

from collections.abc import Iterator
from typing import Any, final

import attrs

from wasabiturn.messages.batch import OpenOrder, OpenOrders, StartOrder
from wasabiturn.messages.limits import (
    LATE_RUN_SECONDS,
    ORDER_LIFETIME_SECONDS,
)
from wasabiturn.process.agent.runs.port import RunListing, WorkerIdentity
from wasabiturn.utils.logs import create_component_log

# The leader would take an order that is missing for one that was answered.
_RECORD_SECONDS = ORDER_LIFETIME_SECONDS + LATE_RUN_SECONDS
_MS = 1000

_log = create_component_log('runs')


@final
@attrs.define(eq=False)
class SentOrder:
    """One order that was sent to the worker of a name.

    ``is_awaited`` tells that it may still be answered. ``is_answered`` is set
    if a later incarnation of that name answered it or lists its run.
    ``is_spare`` is set once it is known what has begun the run.
    """

    task: str
    run: int
    worker: str
    born_ms: int
    sent_at: float
    is_awaited: bool = True
    is_answered: bool = False
    is_spare: bool = False


@final
class OrderRegistry:
    """The orders of this process that were not answered."""

    def __init__(self, clock: Any) -> None:
        """Create an empty registry."""
        self._clock = clock
        self._begun_at = clock.seconds()
        self._sent_orders: list[SentOrder] = []
        # When it became known what has begun each run.
        self._explained_at_by_run: dict[tuple[str, int], float] = {}

    def record(self, order: StartOrder, identity: WorkerIdentity) -> SentOrder:
        """Record an order that is sent now."""
        sent_order = SentOrder(
            task=order.task,
            run=order.run,
            worker=identity.worker,
            born_ms=identity.born_ms,
            sent_at=self._clock.seconds(),
            is_spare=(order.task, order.run) in self._explained_at_by_run,
        )
        self._sent_orders.append(sent_order)
        return sent_order

    def settle(self, sent_order: SentOrder) -> None:
        """Remove an order that was answered."""
        if sent_order in self._sent_orders:
            self._sent_orders.remove(sent_order)

    def stop_awaiting(self, sent_order: SentOrder) -> None:
        """Record that an order will not be answered any more."""
        sent_order.is_awaited = False

    def settle_started(self, sent_order: SentOrder) -> None:
        """Remove an order to which the worker answered that it has the run.

        This order or another one has begun the run, so a list tells no more.
        """
        self.settle(sent_order)
        self._mark_spare(sent_order.task, sent_order.run)

    def record_successor_answer(self, sent_order: SentOrder) -> None:
        """Record that a later incarnation of the name has the run."""
        sent_order.is_answered = True
        self._mark_spare(sent_order.task, sent_order.run)

    def settle_listed(self, listing: RunListing) -> None:
        """Settle the orders that have begun the listed runs.

        An order is carried out once. Of several without an answer, the oldest
        is settled: the others end later.
        """
        listed = [(row.task, row.run) for row in listing.running]
        listed.extend((row.task, row.run) for row in listing.ended)
        for task, run in listed:
            sent_orders = list(self._find(task, run))
            if not _tells_what_began(sent_orders):
                continue
            oldest = sent_orders[0]
            _log.decision(
                'list settles order without an answer',
                task=task,
                run=run,
                seconds=round(self._clock.seconds() - oldest.sent_at, 2),
                open_orders=len(sent_orders),
                is_same_life=oldest.born_ms == listing.born_ms,
            )
            if oldest.born_ms == listing.born_ms:
                self.settle_started(oldest)
            else:
                self.record_successor_answer(oldest)

    def _is_open(self, sent_order: SentOrder) -> bool:
        now = float(self._clock.seconds())
        return now < sent_order.sent_at + ORDER_LIFETIME_SECONDS

    def _find(self, task: str, run: int) -> Iterator[SentOrder]:
        for sent_order in self._sent_orders:
            if (sent_order.task, sent_order.run) == (task, run):
                yield sent_order

    def _mark_spare(self, task: str, run: int) -> None:
        self._explained_at_by_run[task, run] = self._clock.seconds()
        for sent_order in self._find(task, run):
            sent_order.is_spare = True

    def is_any_open(self) -> bool:
        """Return whether an order may still be carried out."""
        return any(map(self._is_open, self._sent_orders))

    def list_outlived_runs(
        self, identity: WorkerIdentity
    ) -> set[tuple[str, int]]:
        """Return the runs with open orders to earlier lives of a name."""
        return {
            (each.task, each.run)
            for each in self._sent_orders
            if self._is_open(each)
            and each.worker == identity.worker
            and each.born_ms != identity.born_ms
        }

    def describe(self) -> OpenOrders:
        """Return the orders that are open, or have expired not long ago.

        Of repeated ones the newest: no other is open for longer.
        """
        now = self._clock.seconds()
        self._sent_orders = [
            sent_order
            for sent_order in self._sent_orders
            if now < sent_order.sent_at + _RECORD_SECONDS
        ]
        self._explained_at_by_run = {
            key: explained_at
            for key, explained_at in self._explained_at_by_run.items()
            if now < explained_at + _RECORD_SECONDS
        }
        newest_by_key = {
            (
                sent_order.task,
                sent_order.run,
                sent_order.worker,
                sent_order.is_answered,
            ): sent_order
            for sent_order in self._sent_orders
        }
        return OpenOrders(
            known_ms=int((now - self._begun_at) * _MS),
            orders=[
                OpenOrder(
                    task=sent_order.task,
                    run=sent_order.run,
                    worker=sent_order.worker,
                    age_ms=int((now - sent_order.sent_at) * _MS),
                    is_answered=sent_order.is_answered,
                )
                for sent_order in newest_by_key.values()
            ],
        )


def _tells_what_began(sent_orders: list[SentOrder]) -> bool:
    """Return whether one of the orders has begun their listed run.

    Else that is settled, or one that is answered later may have begun it.
    """
    if any(each.is_spare for each in sent_orders):
        return False
    if len(sent_orders) == 1:
        return True
    return bool(sent_orders) and not any(
        each.is_awaited for each in sent_orders
    )

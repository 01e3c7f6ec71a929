"""Delivery of the leader's orders to one incarnation of the worker."""

from collections.abc import Callable
from typing import Any, final

from twisted.python.failure import Failure

from wasabiturn.messages.batch import StopOrder, WorkerOrders
from wasabiturn.messages.kinds import StartOutcome
from wasabiturn.process import exposition
from wasabiturn.process.agent.runs.answer_tracker import AnswerTracker
from wasabiturn.process.agent.runs.channel import (
    WorkerChannel,
    log_order_failure,
)
from wasabiturn.process.agent.runs.fencing_token import FencingToken
from wasabiturn.process.agent.runs.lease import Grants
from wasabiturn.process.agent.runs.open_orders import OrderRegistry
from wasabiturn.process.agent.runs.port import (
    OrderRefusedError,
    RunListing,
    WorkerIdentity,
    WorkerNotListeningError,
    WorkerPort,
)
from wasabiturn.process.agent.runs.start_sender import (
    RETRY_SECONDS,
    UNRESPONSIVE_WORKER,
    StartSender,
)
from wasabiturn.process.agent.runs.starts import RunKey, StartTable
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('runs')


@final
class OrderSender:
    """Sends orders to one incarnation of a worker."""

    def __init__(
        self,
        port: WorkerPort,
        clock: Any,
        open_orders: OrderRegistry,
        token: FencingToken,
        on_start_outcome: Callable[[], None],
        on_closed_port: Callable[[], None],
        on_list_needed: Callable[[], None],
    ) -> None:
        """Create the sender, which keeps ``open_orders`` up to date.

        Orders go out under what ``token`` is then.
        ``on_start_outcome`` is called for each outcome to report at once,
        ``on_closed_port`` for each start that found the worker's port closed,
        ``on_list_needed`` when a list tells what became of orders: once no
        other stop awaits confirmation, or a start order got no answer.
        """
        self.grants = Grants()
        self.table = StartTable()
        self.answers = AnswerTracker(clock)
        self._channel = WorkerChannel(
            port=port,
            clock=clock,
            open_orders=open_orders,
            token=token,
            answers=self.answers,
        )
        self._starts = StartSender(
            channel=self._channel,
            table=self.table,
            grants=self.grants,
            on_outcome=on_start_outcome,
            on_closed_port=on_closed_port,
            on_revoked=self._confirm_stop,
            on_list_needed=on_list_needed,
        )
        self._on_list_needed = on_list_needed
        self._on_start_outcome = on_start_outcome
        # Those in the newest orders, and those sent without an answer yet.
        self._ordered_stops: set[RunKey] = set()
        self._pending_stops: set[RunKey] = set()
        # Number of the newest orders under the present fence.
        self.newest_orders = 0
        self._sent_holds = 0

    def follow_fence(self, fence: int) -> None:
        """Discard the starts that were ordered before ``fence``."""
        self.newest_orders = 0
        self._ordered_stops.clear()
        self.table.drop_superseded(fence)

    def close(self) -> None:
        """Send no more orders, as the worker has another incarnation."""
        self._channel.close()

    def update_identity(self, identity: WorkerIdentity) -> None:
        """Follow an announcement of the same incarnation."""
        if self._channel.identity is not None:
            self._channel.open(identity)

    def accept_orders(
        self, identity: WorkerIdentity, orders: WorkerOrders
    ) -> None:
        """Send stops and paces at once; queue starts for ``send_starts``."""
        self._channel.open(identity)
        if self._channel.is_closed:
            return
        if orders.number >= self.newest_orders:
            self.newest_orders = orders.number
            self._ordered_stops = {
                (each.task, each.run) for each in orders.stops
            }
            self._accept_starts(orders)
        for stop in orders.stops:
            self._send_stop(identity, stop)
        for pace in orders.paces:
            self._channel.send_pace(identity, pace)

    def apply_listing(self, listing: RunListing, sent_holds: int) -> None:
        """Update the outcomes of starts and stops from a listing."""
        self.table.settle(listing, sent_holds)

    def send_starts(self) -> None:
        """Send the queued starts, if the leader has answered recently."""
        self._starts.send_starts()

    def refuse_unsent_starts(self) -> bool:
        """Refuse the starts that were not sent; return whether any were."""
        return self._starts.refuse_unsent()

    def follow_answer(self, *, is_held: bool) -> None:
        """Record the answer to a hold; ask a worker that was silent."""
        if not is_held:
            self.answers.record_answer()
        elif self.answers.is_unresponsive() and self.answers.begin_probe():
            self._on_list_needed()

    def follow_hold_failure(
        self, failure: Failure, *, has_listed: bool
    ) -> None:
        """Send starts to a worker that refuses a hold; ask a silent one.

        Without a list, holds that ask for one are repeated anyhow.
        """
        if failure.check(OrderRefusedError):
            self.answers.record_answer()
            if has_listed:
                self._starts.send_starts()
        elif not failure.check(WorkerNotListeningError):
            self._refuse_if_unresponsive()
            if self.answers.begin_probe() and has_listed:
                self._on_list_needed()

    def _refuse_if_unresponsive(self) -> None:
        if not self.answers.is_unresponsive():
            return
        if self._starts.refuse_unsent(UNRESPONSIVE_WORKER):
            self._on_start_outcome()

    def record_sent_holds(self, sent_holds: int) -> None:
        """Record how many holds were sent, to recognise later listings."""
        self._sent_holds = sent_holds

    def _accept_starts(self, orders: WorkerOrders) -> None:
        """Queue new starts, and forget settled ones that are not named.

        Older orders than the newest are not passed to this method: they may
        name starts that were settled and forgotten since.
        """
        self.table.add(orders.starts, orders.fence)
        still_ordered = {(order.task, order.run) for order in orders.starts}
        still_ordered.update((order.task, order.run) for order in orders.stops)
        for start in self.table.forget_settled(still_ordered):
            exposition.start_orders.labels('forgotten').inc()
            if start.has_unanswered_order:
                _log.decision(
                    'start forgotten, as it is no longer ordered',
                    **start.describe(),
                    outcome=start.outcome.name,
                )

    def _send_stop(self, identity: WorkerIdentity, order: StopOrder) -> None:
        key = (order.task, order.run)
        if key in self._pending_stops or key in self.table.confirmed_stops:
            return
        start = self.table.starts_by_run.get(key)
        if start is not None and start.outcome is StartOutcome.refused:
            # It will never start, and the next report says so.
            return
        if start is not None and start.was_never_sent:
            self._starts.withdraw(start)
            return
        self._pending_stops.add(key)
        self.table.starts_by_run.pop(key, None)
        _log.decision('stops run', task=order.task, run=order.run)
        sent = self._channel.send_stop(identity, order)
        sent.addCallback(lambda _: self._confirm_stop(key))
        sent.addErrback(self._handle_stop_failure, order)
        sent.addBoth(lambda _: self._pending_stops.discard(key))

    def _handle_stop_failure(self, failure: Failure, order: StopOrder) -> None:
        """Repeat the stop; the leader may be out of reach."""
        log_order_failure(failure)
        self._channel.clock.callLater(RETRY_SECONDS, self._repeat_stop, order)

    def _repeat_stop(self, order: StopOrder) -> None:
        identity = self._channel.identity
        if identity and (order.task, order.run) in self._ordered_stops:
            self._send_stop(identity, order)

    def _confirm_stop(self, key: RunKey) -> None:
        self.table.confirmed_stops[key] = self._sent_holds
        if not self._pending_stops - {key}:
            self._on_list_needed()

"""Delivery of start orders to the worker.

An order that gets no answer may still be carried out. A start is therefore
repeated under the same run number, by which the worker recognises the run,
until it is answered, stopped, or superseded by a listing under a higher fence.
It counts as refused only if no order for it can be carried out any more.
"""

from collections.abc import Callable
from typing import final

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from wasabiturn.messages.batch import PaceOrder, StopOrder
from wasabiturn.messages.kinds import StartOutcome
from wasabiturn.process import exposition
from wasabiturn.process.agent.runs.channel import (
    WorkerChannel,
    log_order_failure,
)
from wasabiturn.process.agent.runs.lease import Grants
from wasabiturn.process.agent.runs.open_orders import SentOrder
from wasabiturn.process.agent.runs.port import (
    OrderNotSentError,
    OrderRefusedError,
    OtherIncarnationError,
    WorkerIdentity,
    WorkerNotListeningError,
)
from wasabiturn.process.agent.runs.starts import RunKey, Start, StartTable
from wasabiturn.utils.logs import create_component_log

RETRY_SECONDS = 0.2
# Answers that come within this time go into one report, while others are due.
ANSWERS_SECONDS = 0.05
# Reasons for a refusal, as the worker sends them: the worker has already had
# this run, or the lease in the order had expired.
REASON_RUN_OUTDATED = 'old'
REASON_LEASE_EXPIRED = 'late'
CLOSED_PORT = 'nothing listens at the worker'
UNRESPONSIVE_WORKER = 'the worker does not answer'
FULL_PERCENT = 100
# Of seconds in log lines.
_LOGGED_DIGITS = 4

_log = create_component_log('runs')


@final
class StartSender:
    """Sends the starts of a table until each has an outcome."""

    def __init__(
        self,
        channel: WorkerChannel,
        table: StartTable,
        grants: Grants,
        on_outcome: Callable[[], None],
        on_closed_port: Callable[[], None],
        on_revoked: Callable[[RunKey], None],
        on_list_needed: Callable[[], None],
    ) -> None:
        """Create the sender.

        ``on_outcome`` is called for each outcome to report at once,
        ``on_closed_port`` for each start that found the worker's port closed,
        ``on_revoked`` with each run whose start the worker was told to forget,
        ``on_list_needed`` to have the worker list its runs: for each order
        without an answer, as the list may tell that it was carried out, and
        before orders to a worker that has not answered for a moment.
        """
        self._channel = channel
        self._table = table
        self._grants = grants
        self._on_outcome = on_outcome
        self._on_closed_port = on_closed_port
        self._on_revoked = on_revoked
        self._on_list_needed = on_list_needed
        self._is_outcome_due = False

    def send_starts(self) -> None:
        """Send the queued starts, if the leader has answered recently."""
        identity = self._channel.identity
        if identity is None:
            return
        for start in self._table.list_unsent():
            objection = self._find_objection(start, identity)
            if objection:
                self._refuse(start, objection)
            elif self._may_send(start):
                start.is_sent = True
                self._channel.run(self._send, start)

    def refuse_unsent(self, reason: str = CLOSED_PORT) -> bool:
        """Refuse the starts that cannot begin, as no order for them is out.

        Returns whether there are any.
        """
        unsent_starts = self._table.list_without_orders()
        for unsent in unsent_starts:
            self._record_refusal(unsent, reason)
        return bool(unsent_starts)

    def withdraw(self, start: Start) -> None:
        """Refuse a start that was never sent; the worker needs no stop."""
        self._record_refusal(start, 'withdrawn before it was sent')

    def _find_objection(self, start: Start, identity: WorkerIdentity) -> str:
        """Return why the worker must not start a run, empty if it may."""
        if identity.is_draining:
            return 'the worker leaves'
        if start.has_unanswered_order and self._grants.has_shrunk:
            # Only the leader knows whether there is still room.
            return 'the worker has shrunk'
        return ''

    def _may_send(self, start: Start) -> bool:
        """Return whether to send an order now.

        Asks the worker for a list if it is not known to answer.
        """
        now = self._channel.clock.seconds()
        if not self._grants.may_start(now) or not start.may_be_sent(now):
            return False
        answers = self._channel.answers
        if answers.is_fresh(for_repeat=start.order_count > 0):
            return True
        if answers.begin_probe():
            self._on_list_needed()
        return False

    def _send(self, start: Start) -> Deferred[None]:
        identity = self._channel.identity
        if identity is None or not self._table.awaits(start):
            return succeed(None)
        # The orders before this one may have taken long.
        objection = self._find_objection(start, identity)
        if objection:
            self._refuse(start, objection)
            return succeed(None)
        if not self._may_send(start):
            start.is_sent = False
            return succeed(None)
        start.record_order()
        open_orders = self._channel.open_orders
        sent_order = open_orders.record(start.order, identity)
        exposition.start_orders.labels('sent').inc()
        if start.order_count > 1:
            _log.decision('repeats start', **start.describe())
        now = self._channel.clock.seconds()
        sent_clock_ms = self._grants.estimate_clock_ms(now)
        self._channel.token.is_used = True
        sent = self._channel.port.start(
            identity,
            start.order,
            self._channel.token.value,
            self._grants.lease_until_ms,
        )
        return sent.addCallbacks(
            self._handle_started,
            self._handle_failure,
            (start, sent_order, sent_clock_ms),
            {},
            (start, sent_order),
        )

    def _seconds_since(self, sent_order: SentOrder) -> float:
        now = float(self._channel.clock.seconds())
        return round(now - sent_order.sent_at, _LOGGED_DIGITS)

    def _settle_refused(self, start: Start, sent_order: SentOrder) -> None:
        start.unanswered_orders -= 1
        self._channel.open_orders.settle(sent_order)

    def _handle_started(
        self,
        clock_ms: int,
        start: Start,
        sent_order: SentOrder,
        sent_clock_ms: int,
    ) -> None:
        if clock_ms >= sent_clock_ms:
            start.unanswered_orders -= 1
            self._channel.open_orders.settle_started(sent_order)
        else:
            # Its clock started anew: another incarnation has the run.
            self._channel.open_orders.record_successor_answer(sent_order)
            _log.event(
                'a new incarnation answered a start',
                **start.describe(),
                clock_ms=clock_ms,
                sent_clock_ms=sent_clock_ms,
            )
        self._channel.answers.record_answer()
        start.outcome = StartOutcome.started
        exposition.start_orders.labels('started').inc()
        _log.decision(
            'start answered',
            **start.describe(),
            seconds=self._seconds_since(sent_order),
        )
        order = start.order
        identity = self._channel.identity
        if order.percent < FULL_PERCENT and identity is not None:
            pace = PaceOrder(order.task, order.run, order.percent)
            self._channel.send_pace(identity, pace)
        if order.reports_at_once or not self._table.has_open():
            self._is_outcome_due = False
            self._on_outcome()
        else:
            self._report_soon()

    def _report_soon(self) -> None:
        """Report answers together; a lost machine leaves others in doubt."""

        def report() -> None:
            if self._is_outcome_due:
                self._is_outcome_due = False
                self._on_outcome()

        if not self._is_outcome_due:
            self._is_outcome_due = True
            self._channel.clock.callLater(ANSWERS_SECONDS, report)

    def _handle_failure(
        self, failure: Failure, start: Start, sent_order: SentOrder
    ) -> None:
        error = failure.value
        if isinstance(error, OrderRefusedError):
            self._channel.answers.record_answer()
            self._settle_refused(start, sent_order)
            self._handle_refusal(start, error.reason)
        elif isinstance(error, OrderNotSentError):
            self._settle_refused(start, sent_order)
            self._retry_later(start)
        elif isinstance(error, OtherIncarnationError):
            # No order reaches the incarnation that it names any more.
            self._settle_refused(start, sent_order)
            start.unanswered_orders = 0
            self._refuse(start, 'the worker has another incarnation')
        elif isinstance(error, WorkerNotListeningError):
            self._settle_refused(start, sent_order)
            self._handle_closed_port(start)
        else:
            self._channel.open_orders.stop_awaiting(sent_order)
            exposition.start_orders.labels('unanswered').inc()
            _log.event(
                'start order failed; it will be retried',
                **start.describe(),
                seconds=self._seconds_since(sent_order),
                error=str(error),
            )
            self._on_list_needed()
            self._retry_later(start)

    def _handle_refusal(self, start: Start, reason: str) -> None:
        if reason == REASON_RUN_OUTDATED:
            # The run has already ended; its end is or was listed.
            start.outcome = StartOutcome.started
        elif reason == REASON_LEASE_EXPIRED:
            self._retry_later(start)
        else:
            self._refuse(start, reason)

    def _handle_closed_port(self, start: Start) -> None:
        if start.has_unanswered_order:
            # A new incarnation of the worker may carry that order out.
            self._retry_later(start)
        else:
            self._record_refusal(start, CLOSED_PORT)
        self.refuse_unsent()
        self._on_closed_port()

    def _retry_later(self, start: Start) -> None:
        self._channel.clock.callLater(RETRY_SECONDS, self._retry, start)

    def _retry(self, start: Start) -> None:
        if start.outcome is StartOutcome.pending:
            start.is_sent = False
            self.send_starts()

    def _refuse(self, start: Start, reason: str) -> None:
        if start.outcome is not StartOutcome.pending:
            return
        if start.has_unanswered_order:
            start.is_sent = True
            self._revoke(start)
        else:
            self._record_refusal(start, reason)
            self._on_outcome()

    def _revoke(self, start: Start) -> None:
        """Stop a run whose start is uncertain, so that it never begins.

        The run counts as refused once a later listing does not have it; until
        then it stays pending, and is not sent again.
        """
        identity = self._channel.identity
        if identity is None or not self._table.has(start):
            return
        order = StopOrder(task=start.order.task, run=start.order.run)
        _log.decision(
            'stops a run whose start is uncertain', **start.describe()
        )
        sent = self._channel.send_stop(identity, order)
        sent.addCallback(lambda _: self._on_revoked(start.key))
        sent.addErrback(self._retry_revoke, start)

    def _retry_revoke(self, failure: Failure, start: Start) -> None:
        log_order_failure(failure)
        self._channel.clock.callLater(RETRY_SECONDS, self._revoke, start)

    def _record_refusal(self, start: Start, reason: str) -> None:
        start.outcome = StartOutcome.refused
        start.reason = reason
        exposition.start_orders.labels('refused').inc()
        _log.decision('start refused', **start.describe(), reason=reason)

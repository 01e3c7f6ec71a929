"""Orders of the leader on their way to the worker.

An order that gets no answer may still be carried out: a start is sent again
under the same run number, which the worker takes for the same run, until it is
answered, stopped, or settled by a listing under a higher fence.
"""

from collections.abc import Callable
from typing import Any, final

from twisted.internet.defer import Deferred, DeferredSemaphore, succeed
from twisted.python.failure import Failure

from wasabiturn.messages.batch import PaceOrder, StopOrder, WorkerOrders
from wasabiturn.messages.kinds import StartOutcome
from wasabiturn.process.agent.runs.lease import Grants
from wasabiturn.process.agent.runs.port import (
    OrderRefusedError,
    OtherIncarnationError,
    RunListing,
    WorkerIdentity,
    WorkerPort,
)
from wasabiturn.process.agent.runs.starts import RunKey, Start, StartTable
from wasabiturn.utils.logs import create_part_log

RETRY_SECONDS = 0.2
# Orders under way at once; each takes a connection to the worker.
PARALLEL_ORDERS = 3
# Reasons of refusal: the worker has had this run, or its lease was over.
RUN_IS_OLD = 'old'
LEASE_WAS_LATE = 'late'
FULL_PERCENT = 100

_log = create_part_log('runs')


@final
class OrderSender:
    """Sends the orders for one life of a worker."""

    def __init__(
        self,
        port: WorkerPort,
        clock: Any,
        life: tuple[str, int],
        on_refusal: Callable[[], None],
        on_stopped: Callable[[], None],
    ) -> None:
        """Create the sender.

        ``on_refusal`` learns of starts not made, ``on_stopped`` of stops that
        the worker agreed to.
        """
        self.grants = Grants()
        self.table = StartTable()
        self._port = port
        self._clock = clock
        self._life = life
        self._on_refusal = on_refusal
        self._on_stopped = on_stopped
        self._stopping: set[RunKey] = set()
        self._turn = DeferredSemaphore(PARALLEL_ORDERS)
        self._identity: WorkerIdentity | None = None
        self._fence = 0
        self._sent_holds = 0

    def follow(self, fence: int) -> None:
        """Carry out nothing more of leaders before ``fence``."""
        self._fence = fence
        self.table.drop_unsent(fence)

    def suspend(self) -> None:
        """Send no more: the worker has another life."""
        self._identity = None

    def take(self, identity: WorkerIdentity, orders: WorkerOrders) -> None:
        """Take orders; starts wait until ``send_starts``."""
        self._identity = identity
        self.table.add(orders.starts, orders.fence)
        still = {(order.task, order.run) for order in orders.starts}
        self.table.forget_settled(still)
        for stop in orders.stops:
            self._stop(identity, stop)
        for pace in orders.paces:
            self._pace(identity, pace)

    def take_listing(self, listing: RunListing, sent_holds: int) -> None:
        """Settle the starts and stops that the listing tells of."""
        self.table.settle(listing, sent_holds)

    def send_starts(self) -> None:
        """Send the starts that wait, if the leader was in touch lately."""
        identity = self._identity
        if identity is None:
            return
        for start in self.table.list_unsent():
            if identity.is_draining:
                self._refuse(start, 'the worker leaves')
            elif self.grants.may_start(self._clock.seconds()):
                start.is_sent = True
                self._turn.run(self._send_start, identity, start)

    def note_holds(self, sent_holds: int) -> None:
        """Note how many holds were sent, to tell later listings apart."""
        self._sent_holds = sent_holds

    def _send_start(
        self,
        identity: WorkerIdentity,
        start: Start,
    ) -> Deferred[None]:
        if not self._is_wanted(start):
            return succeed(None)
        sent = self._port.start(
            identity,
            start.order,
            start.fence,
            self.grants.lease_until_ms,
        )
        sent.addCallbacks(
            self._note_started,
            self._note_not_started,
            (start,),
            {},
            (start,),
        )
        return sent

    def _is_wanted(self, start: Start) -> bool:
        key = (start.order.task, start.order.run)
        return self.table.starts_by_run.get(key) is start

    def _note_started(self, nothing: None, start: Start) -> None:
        start.outcome = StartOutcome.started
        order = start.order
        if order.percent < FULL_PERCENT and self._identity is not None:
            pace = PaceOrder(order.task, order.run, order.percent)
            self._pace(self._identity, pace)

    def _note_not_started(self, failure: Failure, start: Start) -> None:
        error = failure.value
        if isinstance(error, OrderRefusedError):
            self._take_refusal(start, error.reason)
        elif isinstance(error, OtherIncarnationError):
            self._refuse(start, 'the worker has another life')
        else:
            _log.event(
                'start not answered',
                task=start.order.task,
                run=start.order.run,
                error=str(error),
            )
            start.is_doubtful = True
            self._clock.callLater(RETRY_SECONDS, self._send_again, start)

    def _take_refusal(self, start: Start, reason: str) -> None:
        if reason == RUN_IS_OLD:
            # The run has ended already; its end is or was listed.
            start.outcome = StartOutcome.started
        elif reason == LEASE_WAS_LATE:
            self._clock.callLater(RETRY_SECONDS, self._send_again, start)
        elif start.is_doubtful:
            self._settle_by_stop(start)
        else:
            self._refuse(start, reason)

    def _settle_by_stop(self, start: Start) -> None:
        """Let the worker agree that a run never begins.

        The run counts as refused once a later listing shows that it is not
        there; until then it stays pending, and is not sent again.
        """
        identity = self._identity
        if identity is None or not self._is_wanted(start):
            return
        order = StopOrder(task=start.order.task, run=start.order.run)
        key = (order.task, order.run)
        _log.decision('settles start by a stop', task=key[0], run=key[1])
        sent = self._turn.run(self._port.stop, identity, order, self._fence)
        sent.addCallback(self._note_stopped, key)
        sent.addErrback(self._settle_again, start)

    def _settle_again(self, failure: Failure, start: Start) -> None:
        _log_failure(failure)
        self._clock.callLater(RETRY_SECONDS, self._settle_by_stop, start)

    def _send_again(self, start: Start) -> None:
        if start.outcome is not StartOutcome.pending:
            return
        start.is_sent = False
        self.send_starts()

    def _refuse(self, start: Start, reason: str) -> None:
        _log.decision(
            'start refused',
            task=start.order.task,
            run=start.order.run,
            worker=self._life[0],
            reason=reason,
        )
        start.outcome = StartOutcome.refused
        start.reason = reason
        self._on_refusal()

    def _stop(self, identity: WorkerIdentity, order: StopOrder) -> None:
        key = (order.task, order.run)
        if key in self._stopping or key in self.table.confirmed_stops:
            return
        self._stopping.add(key)
        self.table.starts_by_run.pop(key, None)
        _log.decision('stops', task=order.task, run=order.run)
        sent = self._turn.run(self._port.stop, identity, order, self._fence)
        sent.addCallback(self._note_stopped, key)
        sent.addErrback(_log_failure)
        sent.addBoth(lambda _: self._stopping.discard(key))

    def _note_stopped(self, nothing: None, key: RunKey) -> None:
        self.table.confirmed_stops[key] = self._sent_holds
        if not self._stopping - {key}:
            self._on_stopped()

    def _pace(self, identity: WorkerIdentity, order: PaceOrder) -> None:
        sent = self._turn.run(self._port.pace, identity, order, self._fence)
        sent.addErrback(_log_failure)


def _log_failure(failure: Failure) -> None:
    _log.event('order failed', error=str(failure.value))

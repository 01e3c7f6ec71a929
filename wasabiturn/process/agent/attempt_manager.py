"""Attempts of an agent: heartbeats to the leader, work on the platform.

The tables decide; this module beats, polls the worker and carries out.
"""

from collections.abc import Callable
from typing import Any, Protocol, final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.connection.worker import create_worker_client
from wasabiturn.connection.worker_messages import Listing, RunName
from wasabiturn.exceptions import ProcessError
from wasabiturn.messages.kinds import AttemptState, Method
from wasabiturn.messages.session import (
    Heartbeat,
    Orders,
    ServiceReport,
    UsageReport,
)
from wasabiturn.process.agent.attempt_orders import take_orders
from wasabiturn.process.agent.attempt_runner import (
    ActionRunner,
    Platform,
    log_failure,
)
from wasabiturn.process.agent.attempt_table import (
    ENDED,
    AttemptTable,
    confirm_start,
    create_attempt_table,
    review_leases,
    take_listing,
)
from wasabiturn.process.daemon import Context
from wasabiturn.utils.logs import create_part_log
from wasabiturn.version.placement.periods import HEARTBEAT_SECONDS

POLL_SECONDS = 0.25
CALL_TIMEOUT_SECONDS = 1.0

_log = create_part_log('attempts')


class LeaderSession(Protocol):
    """The part of the control session that attempts need."""

    def call_leader(
        self,
        method: Method,
        message: Any,
        reply_class: type[Any],
        timeout_seconds: float,
    ) -> Deferred[Any]:
        """Call the leader, wherever it is."""


@final
class AttemptManager:
    """Holds the attempts of one worker."""

    def __init__(
        self,
        context: Context,
        session: LeaderSession,
        dispatch: Dispatch,
        platform: Platform,
    ) -> None:
        """Create the part; ``start`` begins to beat and poll."""
        self.service_reports: Callable[[], list[ServiceReport]] = list
        self._context = context
        self._session = session
        self._dispatch = dispatch
        self._platform = platform
        self._table: AttemptTable = create_attempt_table(self._now())
        self._usage: list[UsageReport] = []
        self._is_leaving = False
        self._is_polling = False
        self._extra_beat: Any = None
        self._runner = ActionRunner(
            platform,
            self._take_start,
            self._take_refusal,
        )
        self._beater = self._create_loop(self._beat)
        self._poller = self._create_loop(self._poll)
        dispatch.handle(Method.orders, Orders, self._handle_orders)

    def start(self) -> None:
        """Begin to poll the worker and to beat."""
        self._poller.start(POLL_SECONDS, now=True)
        self._beater.start(HEARTBEAT_SECONDS, now=True)

    def drain(self) -> Deferred[None]:
        """Take no more starts; what runs goes on under its leases."""
        self._is_leaving = True
        if self._beater.running:
            self._beat()
        return succeed(None)

    def close(self) -> None:
        """Stop the timers and close connections to the worker."""
        for loop in (self._poller, self._beater):
            if loop.running:
                loop.stop()
        self._platform.close()

    def _now(self) -> float:
        return float(self._context.reactor.seconds())

    def _create_loop(self, step: Callable[[], None]) -> LoopingCall:
        loop = LoopingCall(step)
        loop.clock = self._context.reactor
        return loop

    def _beat(self) -> None:
        for action in review_leases(self._table, self._now()):
            self._runner.carry_out(action)
        call = self._session.call_leader(
            Method.heartbeat,
            self._create_heartbeat(),
            Orders,
            CALL_TIMEOUT_SECONDS,
        )
        call.addCallbacks(self._take_orders, self._log_silence)
        call.addErrback(log_failure)

    def _create_heartbeat(self) -> Heartbeat:
        instance = self._context.settings.instance
        usage = self._usage
        self._usage = []
        return Heartbeat(
            agent=instance.name,
            incarnation=self._dispatch.hello.incarnation,
            sequence=self._table.next_sequence(self._now()),
            data_centre=instance.data_centre,
            rack=instance.rack,
            capacity=self._table.capacity,
            attempts=self._table.list_reports(),
            usage=usage,
            services=self.service_reports(),
            leaving=self._is_leaving,
            reconciled=self._table.reconciled,
        )

    def _handle_orders(self, link: Link, orders: Orders) -> None:
        self._take_orders(orders)

    def _take_orders(self, orders: Orders) -> None:
        held_ended = self._count_ended()
        for action in take_orders(self._table, orders, self._now()):
            self._runner.carry_out(action)
        if self._count_ended() > held_ended:
            self._beat_soon()

    def _poll(self) -> None:
        if self._is_polling:
            return
        self._is_polling = True
        fetched = self._platform.fetch_listing()
        fetched.addCallback(self._take_listing, self._now())
        fetched.addErrback(log_failure)
        fetched.addBoth(self._finish_poll)

    def _finish_poll(self, nothing: Any) -> None:
        self._is_polling = False

    def _take_listing(self, listing: Listing, requested_at: float) -> None:
        held_ended = self._count_ended()
        for action in take_listing(self._table, listing, requested_at):
            self._runner.carry_out(action)
        self._usage.extend(
            UsageReport(
                task=usage.task,
                used=usage.used,
                lag_seconds=usage.lag_seconds,
                progress=usage.progress,
            )
            for usage in listing.usage
        )
        if self._count_ended() > held_ended:
            self._beat_soon()

    def _count_ended(self) -> int:
        held_attempts = self._table.held_by_task.values()
        return sum(held.state in ENDED for held in held_attempts)

    def _beat_soon(self) -> None:
        """Report an end at once rather than with the next heartbeat."""
        if self._extra_beat is None and self._beater.running:
            self._extra_beat = self._context.reactor.callLater(
                0,
                self._beat_now,
            )

    def _beat_now(self) -> None:
        self._extra_beat = None
        if self._beater.running:
            self._beat()

    def _log_silence(self, failure: Failure) -> None:
        _log.event('leader not reached', error=repr(failure.value))

    def _take_start(self, name: RunName) -> None:
        held = self._table.held_by_task.get(name.task)
        if held is not None and held.attempt == name.attempt:
            confirm_start(held, self._now())
            self._beat_soon()

    def _take_refusal(self, name: RunName, reason: str) -> None:
        held = self._table.held_by_task.get(name.task)
        if held is None or held.attempt != name.attempt:
            return
        if held.state is AttemptState.starting:
            held.end(AttemptState.refused, reason)
            self._beat_soon()


def create_attempts(
    context: Context,
    session: LeaderSession,
    dispatch: Dispatch,
) -> AttemptManager:
    """Create the part from the settings of ``context``.

    Raises:
        ProcessError: the settings name no worker.
    """
    section = context.settings.agent
    if section is None or section.worker_url is None:
        raise ProcessError('[agent] worker_url is missing')
    platform = create_worker_client(section.worker_url, context.reactor)
    return AttemptManager(
        context=context,
        session=session,
        dispatch=dispatch,
        platform=platform,
    )

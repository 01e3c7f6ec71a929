"""Attempts of an agent: heartbeats to the leader, actions on the worker.

The attempt table decides; this module does the I/O: it sends heartbeats,
polls the worker and carries out the resulting actions.
"""

from collections.abc import Callable
from typing import Any, Protocol, final

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.python.failure import Failure

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.connection.worker import create_worker_client
from wasabiturn.connection.worker_messages import (
    Listing,
    RunName,
    WorkerDownError,
)
from wasabiturn.exceptions import ProcessError
from wasabiturn.messages.kinds import AttemptState, Method
from wasabiturn.messages.session import (
    Heartbeat,
    Orders,
    ServiceReport,
    UsageReport,
)
from wasabiturn.process.agent.attempt_listing import (
    apply_listing,
    apply_worker_down,
)
from wasabiturn.process.agent.attempt_orders import apply_orders
from wasabiturn.process.agent.attempt_runner import (
    ActionRunner,
    Platform,
    log_failure,
)
from wasabiturn.process.agent.attempt_table import (
    ENDED_STATES,
    AttemptTable,
    check_leases,
    confirm_start,
    create_attempt_table,
)
from wasabiturn.process.daemon import Context
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.ticker import Ticker
from wasabiturn.version.placement.periods import HEARTBEAT_INTERVAL_SECONDS

POLL_INTERVAL_SECONDS = 0.25
CALL_TIMEOUT_SECONDS = 1.0

_log = create_component_log('attempts')


class LeaderSession(Protocol):
    """The part of the control session that the attempt manager needs."""

    def call_leader(
        self,
        method: Method,
        message: Any,
        reply_class: type[Any],
        timeout_seconds: float,
    ) -> Deferred[Any]:
        """Call the present leader."""


@final
class AttemptManager:
    """Manages the attempts of one worker."""

    def __init__(
        self,
        context: Context,
        session: LeaderSession,
        dispatch: Dispatch,
        platform: Platform,
    ) -> None:
        """Create the manager; ``start`` begins to poll and send heartbeats."""
        self.service_reports: Callable[[], list[ServiceReport]] = list
        self._context = context
        self._session = session
        self._dispatch = dispatch
        self._platform = platform
        self._table: AttemptTable = create_attempt_table(self._now())
        self._usage: list[UsageReport] = []
        self._is_leaving = False
        self._is_polling = False
        self._extra_heartbeat: Any = None
        self._runner = ActionRunner(
            platform,
            self._handle_started,
            self._handle_refused,
        )
        reactor = context.reactor
        self._heartbeat_loop = Ticker(self._send_heartbeat, reactor)
        self._poll_loop = Ticker(self._poll, reactor)
        dispatch.handle(Method.orders, Orders, self._handle_orders)

    def start(self) -> None:
        """Begin to poll the worker and to send heartbeats."""
        self._poll_loop.start(POLL_INTERVAL_SECONDS, now=True)
        self._heartbeat_loop.start(HEARTBEAT_INTERVAL_SECONDS, now=True)

    def drain(self) -> Deferred[None]:
        """Report the agent as leaving, so that the leader orders no starts.

        Running attempts go on under their leases.
        """
        self._is_leaving = True
        if self._heartbeat_loop.running:
            self._send_heartbeat()
        return succeed(None)

    def close(self) -> None:
        """Stop the timers and close connections to the worker."""
        for loop in (self._poll_loop, self._heartbeat_loop):
            if loop.running:
                loop.stop()
        self._platform.close()

    def _now(self) -> float:
        return float(self._context.reactor.seconds())

    def _send_heartbeat(self) -> None:
        for action in check_leases(self._table, self._now()):
            self._runner.carry_out(action)
        call = self._session.call_leader(
            Method.heartbeat,
            self._create_heartbeat(),
            Orders,
            CALL_TIMEOUT_SECONDS,
        )
        call.addCallbacks(self._apply_orders, self._log_failed_heartbeat)
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
        self._apply_orders(orders)

    def _apply_orders(self, orders: Orders) -> None:
        ended_before = self._count_ended()
        for action in apply_orders(self._table, orders, self._now()):
            self._runner.carry_out(action)
        if self._count_ended() > ended_before:
            self._schedule_heartbeat()

    def _poll(self) -> None:
        if self._is_polling:
            return
        self._is_polling = True
        fetched = maybeDeferred(self._platform.fetch_listing)
        fetched.addCallback(self._apply_listing, self._now())
        fetched.addErrback(self._handle_worker_down)
        fetched.addErrback(log_failure)
        fetched.addBoth(self._finish_poll)

    def _handle_worker_down(self, failure: Failure) -> Failure:
        if failure.check(WorkerDownError) and not self._is_leaving:
            apply_worker_down(self._table, self._now())
        return failure

    def _finish_poll(self, nothing: Any) -> None:
        self._is_polling = False

    def _apply_listing(self, listing: Listing, requested_at: float) -> None:
        ended_before = self._count_ended()
        for action in apply_listing(self._table, listing, requested_at):
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
        if self._count_ended() > ended_before:
            self._schedule_heartbeat()

    def _count_ended(self) -> int:
        tracked_attempts = self._table.tracked_by_task.values()
        return sum(
            tracked.state in ENDED_STATES for tracked in tracked_attempts
        )

    def _schedule_heartbeat(self) -> None:
        """Send a heartbeat at once, ahead of the next periodic one."""
        if self._extra_heartbeat is None and self._heartbeat_loop.running:
            self._extra_heartbeat = self._context.reactor.callLater(
                0,
                self._send_extra_heartbeat,
            )

    def _send_extra_heartbeat(self) -> None:
        self._extra_heartbeat = None
        if self._heartbeat_loop.running:
            self._send_heartbeat()

    def _log_failed_heartbeat(self, failure: Failure) -> None:
        _log.event('heartbeat to the leader failed', error=repr(failure.value))

    def _handle_started(self, name: RunName) -> None:
        tracked = self._table.tracked_by_task.get(name.task)
        if tracked is not None and tracked.attempt == name.attempt:
            confirm_start(tracked, self._now())
            self._schedule_heartbeat()

    def _handle_refused(self, name: RunName, reason: str) -> None:
        tracked = self._table.tracked_by_task.get(name.task)
        if tracked is None or tracked.attempt != name.attempt:
            return
        if tracked.state is AttemptState.starting:
            tracked.end(AttemptState.refused, reason)
            self._schedule_heartbeat()


def create_attempt_manager(
    context: Context,
    session: LeaderSession,
    dispatch: Dispatch,
) -> AttemptManager:
    """Create the attempt manager from the settings of ``context``.

    Raises:
        ProcessError: ``[agent] worker_url`` is not set.
    """
    section = context.settings.agent
    if section is None or section.worker_url is None:
        raise ProcessError('[agent] worker_url is not set')
    platform = create_worker_client(section.worker_url, context.reactor)
    return AttemptManager(
        context=context,
        session=session,
        dispatch=dispatch,
        platform=platform,
    )

"""Scheduling of queues' jobs by a control instance while it is the leader.

A new leader works on a copy of the committed state. It gives work to a worker
only once that worker has listed its runs under a fence of the new leader. It
gives up runs of workers that it has not heard from only when their leases have
expired.
"""

from typing import final

from twisted.internet.defer import Deferred, succeed

from wasabiturn.batch import BatchState
from wasabiturn.batch.orders.fences import next_fence
from wasabiturn.batch.queueing.queue_table import QueueReader, QueueTable
from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.messages.kinds import FailureCode
from wasabiturn.process.control.batch.client_limits import (
    ClientLimitsTable,
    LimitsReader,
    read_no_limits,
)
from wasabiturn.process.control.batch.clock_follower import ClockFollower
from wasabiturn.process.control.batch.job_admission import create_admission
from wasabiturn.process.control.batch.job_calls import register_job_calls
from wasabiturn.process.control.batch.leader_term import LeaderTerm
from wasabiturn.process.control.batch.operator_calls import (
    register_operator_calls,
)
from wasabiturn.process.control.batch.starts import TermSettings
from wasabiturn.process.control.batch.status_calls import (
    register_status_calls,
)
from wasabiturn.process.control.batch.take_over import TakeOver
from wasabiturn.process.control.batch.worker_calls import (
    register_worker_calls,
)
from wasabiturn.process.daemon import Context
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.ticker import Ticker
from wasabiturn.version.replica import AppliedCommand, Replica

TICK_SECONDS = 0.1

_log = create_component_log('queues')


@final
class BatchLeader:
    """Schedules queues' jobs while this control instance is the leader."""

    def __init__(
        self,
        context: Context,
        replica: Replica,
        dispatch: Dispatch,
        settings: TermSettings,
        read_queues: QueueReader,
        read_limits: LimitsReader,
    ) -> None:
        """Create the scheduler and register its handlers; see ``start``."""
        self._queue_table = QueueTable(read_queues)
        self._client_limits = ClientLimitsTable(read_limits)
        self._clock = context.reactor
        self._replica = replica
        self._settings = settings
        self._leader_term: LeaderTerm | None = None
        self._take_over: TakeOver | None = None
        self._newest_fence = 0
        self._clock_follower = ClockFollower(replica, self._clock)
        self._ticker = Ticker(self._tick, context.reactor)
        self._admission = create_admission(dispatch, replica, self._clock)
        self._register_handlers(dispatch)
        replica.on_applied.append(self._follow_applied)
        replica.on_restored.append(self._stop_leading)
        replica.on_role_change.append(self._handle_role_change)

    def start(self) -> None:
        """Start the periodic timer."""
        self._ticker.start(TICK_SECONDS, now=False)

    def drain(self) -> Deferred[None]:
        """Stop planning."""
        self.close()
        return succeed(None)

    def close(self) -> None:
        """Stop the timer, and end the term if this instance leads."""
        if self._ticker.running:
            self._ticker.stop()
        self._stop_leading()

    def _register_handlers(self, dispatch: Dispatch) -> None:
        register_job_calls(
            dispatch,
            lambda: self._require_leader_term().pipeline,
            self._queue_table,
            self._admission,
            lambda: self._replica.state.batch,
        )
        register_operator_calls(
            dispatch,
            lambda: self._require_leader_term().pipeline,
            lambda: self._replica.state.batch,
        )
        register_worker_calls(
            dispatch,
            self._require_leader_term,
            lambda service_name: self._queue_table.has_service(
                self._replica.state.batch.routing, service_name
            ),
            self._now,
        )
        register_status_calls(
            dispatch,
            self._require_leader_term,
            self._replica,
            self._client_limits,
        )

    def _now(self) -> float:
        return float(self._clock.seconds())

    def _handle_role_change(self) -> None:
        if self._replica.holds_lease(self._now()):
            self._begin_term()
        else:
            self._stop_leading()

    def _stop_leading(self) -> None:
        if self._take_over is not None:
            self._take_over.cancel()
            self._take_over = None
        if self._leader_term is not None:
            self._newest_fence = self._leader_term.fleet.newest_fence
            self._leader_term.close()
            self._leader_term = None

    def _follow_applied(self, applied: AppliedCommand) -> None:
        if self._take_over is not None:
            self._take_over.follow(applied)

    def _begin_term(self) -> None:
        if self._leader_term is not None or self._take_over is not None:
            return
        self._take_over = TakeOver(
            replica=self._replica,
            clock=self._clock,
            on_copied=self._lead,
            on_failure=self._stop_leading,
        )
        self._take_over.start()

    def _lead(self, batch_state: BatchState) -> None:
        self._take_over = None
        if self._ticker.running and self._replica.holds_lease(self._now()):
            self._leader_term = LeaderTerm(
                replica=self._replica,
                clock=self._clock,
                batch_state=batch_state,
                state_clock=self._clock_follower.take_clock(),
                settings=self._settings,
                fence=next_fence(
                    self._replica.member_status().term, self._newest_fence
                ),
                on_failure=self._stop_leading,
            )

    def _tick(self) -> None:
        holds_lease = self._replica.holds_lease(self._now())
        if holds_lease:
            self._begin_term()
        elif self._replica.leader() != self._replica.name:
            self._stop_leading()
        if self._leader_term is None:
            return
        if holds_lease:
            self._admission.forget_ended_jobs(self._leader_term.pipeline)
        self._leader_term.tick()

    def _require_leader_term(self) -> LeaderTerm:
        holds_lease = self._replica.holds_lease(self._now())
        if self._leader_term is None or not holds_lease:
            leader = self._replica.leader() or ''
            raise CallError(FailureCode.not_leader, 'not the leader', leader)
        return self._leader_term


def create_batch_leader(
    context: Context,
    replica: Replica,
    dispatch: Dispatch,
    settings: TermSettings,
    read_queues: QueueReader,
    read_limits: LimitsReader = read_no_limits,
) -> BatchLeader:
    """Create the leader; ``settings`` are those of each of its terms.

    ``read_queues`` and ``read_limits`` read the queues and the limits on
    callers from the document of a configuration.
    """
    return BatchLeader(
        context, replica, dispatch, settings, read_queues, read_limits
    )

"""The part of a control instance that runs queues while it leads.

A new leader works on a copy of the committed book. It gives work to a worker
only once that worker has listed its runs under the new leader's fence, which
is the term, and gives up runs of unheard workers only when their leases have
ended.
"""

from typing import final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages import batch as messages
from wasabiturn.messages.kinds import FailureCode, Method
from wasabiturn.messages.link import Nothing
from wasabiturn.process.control.batch.job_calls import QueueDesk
from wasabiturn.process.control.batch.leader_term import Lead, wall_clock_ms
from wasabiturn.process.control.batch.worker_reports import answer_report
from wasabiturn.process.daemon import Context
from wasabiturn.utils.logs import create_part_log
from wasabiturn.version.raft.membership import name_of
from wasabiturn.version.replica import Replica

TICK_SECONDS = 0.1

_log = create_part_log('queues')


@final
class BatchLeader:
    """Runs the queues while this control instance leads."""

    def __init__(
        self,
        context: Context,
        replica: Replica,
        dispatch: Dispatch,
        lease_ms: int,
    ) -> None:
        """Create the part; ``start`` begins to work."""
        self._clock = context.reactor
        self._replica = replica
        self._lease_ms = lease_ms
        self._lead: Lead | None = None
        self._is_beginning = False
        self._ticker = LoopingCall(self._tick)
        self._ticker.clock = context.reactor
        self._register(dispatch)
        replica.on_restored.append(self._stop_leading)
        replica.on_role_change.append(self._follow_role)

    def start(self) -> None:
        """Begin to tick."""
        self._ticker.start(TICK_SECONDS, now=False)

    def drain(self) -> Deferred[None]:
        """Stop planning."""
        self.close()
        return succeed(None)

    def close(self) -> None:
        """Stop the timer and what is under way."""
        if self._ticker.running:
            self._ticker.stop()
        self._stop_leading()

    def _register(self, dispatch: Dispatch) -> None:
        handle = dispatch.handle
        handle(Method.job, messages.JobCall, self._handle_job)
        handle(Method.put_routing, messages.PutRouting, self._handle_put)
        handle(Method.read_routing, Nothing, self._handle_read)
        handle(
            Method.mark_data_centre,
            messages.DataCentreMark,
            self._handle_mark,
        )
        handle(
            Method.worker_report,
            messages.WorkerReport,
            self._handle_report,
        )
        handle(Method.members, Nothing, self._handle_members)
        handle(Method.leader_status, Nothing, self._handle_status)

    def _now(self) -> float:
        return float(self._clock.seconds())

    def _follow_role(self) -> None:
        if self._replica.holds_lease(self._now()):
            self._begin()
        else:
            self._stop_leading()

    def _stop_leading(self) -> None:
        if self._lead is not None:
            self._lead.close()
            self._lead = None

    def _begin(self) -> None:
        if self._lead is not None or self._is_beginning:
            return
        self._is_beginning = True
        barrier = self._replica.read_barrier()
        barrier.addCallback(self._take_over)
        barrier.addErrback(self._miss_beginning)

    def _miss_beginning(self, failure: Failure) -> None:
        self._is_beginning = False
        _log.warning('taking over failed', error=repr(failure.value))

    def _take_over(self, nothing: None) -> None:
        self._is_beginning = False
        if self._ticker.running and self._replica.holds_lease(self._now()):
            self._lead = Lead(
                replica=self._replica,
                clock=self._clock,
                lease_ms=self._lease_ms,
                on_failure=self._stop_leading,
            )

    def _tick(self) -> None:
        if self._replica.holds_lease(self._now()):
            self._begin()
        elif self._replica.leader() != self._replica.name:
            self._stop_leading()
        if self._lead is not None:
            self._lead.tick()

    def _leading(self) -> Lead:
        holds_lease = self._replica.holds_lease(self._now())
        if self._lead is None or not holds_lease:
            leader = self._replica.leader() or ''
            raise CallError(FailureCode.not_leader, 'not the leader', leader)
        return self._lead

    def _handle_job(
        self,
        link: Link,
        call: messages.JobCall,
    ) -> Deferred[messages.JobAnswer]:
        desk = QueueDesk(
            pipeline=self._leading().pipeline,
            stored=lambda: self._replica.state.batch,
        )
        return desk.answer(call, wall_clock_ms())

    def _handle_put(
        self,
        link: Link,
        put: messages.PutRouting,
    ) -> Deferred[Nothing]:
        lead = self._leading()
        stored = self._replica.state.batch.routing
        if stored is not None and put.routing.version <= stored.version:
            return succeed(Nothing())
        _log.decision('puts routing', version=put.routing.version)
        return _record(lead, messages.BatchChange(routing=put.routing))

    def _handle_read(
        self,
        link: Link,
        nothing: Nothing,
    ) -> messages.RoutingAnswer:
        self._leading()
        routing = self._replica.state.batch.routing
        return messages.RoutingAnswer(routing=routing)

    def _handle_mark(
        self,
        link: Link,
        mark: messages.DataCentreMark,
    ) -> Deferred[Nothing]:
        lead = self._leading()
        _log.decision(
            'marks data centre',
            data_centre=mark.data_centre,
            out=mark.out,
        )
        return _record(lead, messages.BatchChange(marks=[mark]))

    def _handle_members(
        self,
        link: Link,
        nothing: Nothing,
    ) -> messages.MemberList:
        members = self._replica.member_status().members
        return messages.MemberList(
            names=sorted({name_of(each.member_id) for each in members}),
        )

    def _handle_status(
        self,
        link: Link,
        nothing: Nothing,
    ) -> messages.LeaderStatus:
        batch_state = self._leading().pipeline.batch_state
        return messages.LeaderStatus(
            is_configured=batch_state.routing is not None
        )

    def _handle_report(
        self,
        link: Link,
        report: messages.WorkerReport,
    ) -> messages.WorkerOrders:
        return answer_report(self._leading(), link, report, self._now())


def create_batch_leader(
    context: Context,
    replica: Replica,
    dispatch: Dispatch,
    lease_ms: int,
) -> BatchLeader:
    """Create the part; ``lease_ms`` is granted to each reporting worker."""
    return BatchLeader(context, replica, dispatch, lease_ms)


def _record(lead: Lead, change: messages.BatchChange) -> Deferred[Nothing]:
    recorded = lead.pipeline.record(change)
    return recorded.addCallback(lambda _: Nothing())

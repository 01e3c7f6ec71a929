"""The part of a control instance that runs queues while it leads.

A new leader works on a copy of the committed book. It gives work to a worker
only once that worker has listed its runs under the new leader's fence, which
is the term, and gives up runs of unheard workers only when their leases have
ended.
"""

import time
from typing import Any, final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from wasabiturn.batch import BatchBook, dump_book, load_book
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.jobs import Task
from wasabiturn.batch.planning import Moment, plan_starts
from wasabiturn.batch.reports import find_lapsed, lose_worker, take_report
from wasabiturn.batch.sharing import adjust_pace
from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import (
    BatchChange,
    DataCentreMark,
    EndRun,
    JobAnswer,
    JobCall,
    LeaderStatus,
    MemberList,
    PutRouting,
    RoutingAnswer,
    WorkerOrders,
    WorkerReport,
)
from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.kinds import FailureCode, Method
from wasabiturn.messages.link import Nothing
from wasabiturn.process.control.batch.answers import QueueDesk
from wasabiturn.process.control.batch.orders import create_orders
from wasabiturn.process.control.batch.pipeline import Pipeline
from wasabiturn.process.daemon import Context
from wasabiturn.utils.logs import create_part_log
from wasabiturn.version.raft.membership import name_of
from wasabiturn.version.replica import Replica

TICK_SECONDS = 0.1
# Ended jobs beyond these are forgotten, oldest first.
MAX_ENDED_JOBS = 4000
# A worker's clock may run 2 % slow, and an answer takes its time.
LEASE_DRIFT = 1.03
LEASE_MARGIN_SECONDS = 0.2
_MS = 1000

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
        self._pipeline: Pipeline | None = None
        self._fleet = Fleet(leading_since=0, fence=0)
        self._links_by_life: dict[tuple[str, int], Link] = {}
        self._committed: set[tuple[str, int]] = set()
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
        dispatch.handle(Method.job, JobCall, self._handle_job)
        dispatch.handle(Method.put_routing, PutRouting, self._handle_put)
        dispatch.handle(Method.read_routing, Nothing, self._handle_read)
        dispatch.handle(
            Method.mark_data_centre,
            DataCentreMark,
            self._handle_mark,
        )
        dispatch.handle(
            Method.worker_report,
            WorkerReport,
            self._handle_report,
        )
        dispatch.handle(Method.members, Nothing, self._handle_members)
        dispatch.handle(Method.leader_status, Nothing, self._handle_status)

    def _now(self) -> float:
        return float(self._clock.seconds())

    def _follow_role(self) -> None:
        if not self._replica.holds_lease(self._now()):
            self._stop_leading()
            return
        self._begin()

    def _stop_leading(self) -> None:
        if self._pipeline is None:
            return
        _log.event('leads no longer', fence=self._fleet.fence)
        self._pipeline.book.on_start = None
        self._pipeline.book.on_end = None
        self._pipeline.close()
        self._pipeline = None
        self._links_by_life.clear()
        self._committed.clear()

    def _begin(self) -> None:
        if self._pipeline is not None or self._is_beginning:
            return
        self._is_beginning = True
        barrier = self._replica.read_barrier()
        barrier.addCallbacks(self._take_over, _log_failure)
        barrier.addErrback(_log_failure)
        barrier.addBoth(self._end_beginning)

    def _end_beginning(self, nothing: Any) -> None:
        self._is_beginning = False

    def _take_over(self, nothing: None) -> None:
        now = self._now()
        if not self._replica.holds_lease(now):
            return
        term = self._replica.standing().term
        self._fleet = Fleet(leading_since=now, fence=term)
        book = _copy(self._replica.state.batch)
        for task in book.active_by_name.values():
            self._charge(task)
            self._committed.add((task.name, task.run))
        book.on_start = self._charge
        book.on_end = self._release
        self._pipeline = Pipeline(
            replica=self._replica,
            clock=self._clock,
            book=book,
            on_flush=self._plan,
            on_commit=self._publish,
            on_failure=self._stop_leading,
        )
        _log.event(
            'leads',
            fence=term,
            jobs=len(book.open_jobs_by_id),
            runs=len(book.active_by_name),
        )

    def _charge(self, task: Task) -> None:
        now = self._now()
        worker = self._fleet.open(
            task.worker,
            task.born_ms,
            self._lease_end(now),
        )
        worker.charge(task, now)

    def _release(self, task: Task) -> None:
        worker = self._fleet.worker_of(task)
        self._committed.discard((task.name, task.run))
        if worker is not None:
            worker.release(task)

    def _lease_end(self, now: float) -> float:
        seconds = self._lease_ms / _MS * LEASE_DRIFT
        return now + seconds + LEASE_MARGIN_SECONDS

    def _tick(self) -> None:
        now = self._now()
        if not self._replica.holds_lease(now):
            if self._replica.leader() != self._replica.name:
                self._stop_leading()
            return
        if self._pipeline is None:
            self._begin()
            return
        for worker in find_lapsed(self._fleet, now):
            _log.event(
                'lease ended',
                worker=worker.name,
                heard_seconds=now - worker.heard_at,
                runs=len(worker.charges_by_task),
            )
            self._pipeline.add(BatchChange(ends=lose_worker(worker)))
        self._forget_jobs(self._pipeline)
        self._pipeline.wake_up()

    def _forget_jobs(self, pipeline: Pipeline) -> None:
        book = pipeline.book
        ended = len(book.jobs_by_id) - len(book.open_jobs_by_id)
        if ended <= MAX_ENDED_JOBS:
            return
        final_ids = (
            job_id for job_id, job in book.jobs_by_id.items() if job.is_final
        )
        surplus = [
            job_id
            for job_id, _ in zip(
                final_ids, range(ended - MAX_ENDED_JOBS), strict=False
            )
        ]
        pipeline.add(BatchChange(forgets=surplus))

    def _plan(self) -> None:
        pipeline = self._pipeline
        now = self._now()
        if pipeline is None or not self._replica.holds_lease(now):
            return
        moment = Moment(now=now, wall_ms=_wall_ms())
        for start in plan_starts(pipeline.book, self._fleet, moment):
            pipeline.add(BatchChange(starts=[start]))
            _log.decision(
                'starts',
                task=start.task,
                run=start.run,
                worker=start.worker,
            )

    def _publish(self, change: BatchChange) -> None:
        touched: set[tuple[str, int]] = set()
        for start in change.starts:
            self._committed.add((start.task, start.run))
            touched.add((start.worker, start.born_ms))
        if change.ends or change.cancels:
            touched.update(self._links_by_life)
        for worker in self._fleet.workers_by_life.values():
            self._note_stored(worker, change)
        for life in touched:
            self._push(life)

    def _note_stored(self, worker: Worker, change: BatchChange) -> None:
        """Let the worker forget the ends that are stored by now."""
        pending = worker.pending_ends
        while pending and pending[0][1] is change:
            worker.stored_end = pending.popleft()[0]

    def _push(self, life: tuple[str, int]) -> None:
        worker = self._fleet.workers_by_life.get(life)
        link = self._links_by_life.get(life)
        if worker is None or link is None:
            return
        orders = create_orders(self._fleet, worker, self._committed, 0)
        link.notify(Method.worker_orders, orders)

    def _leading(self) -> Pipeline:
        if self._pipeline is None or not self._replica.holds_lease(self._now()):
            leader = self._replica.leader() or ''
            raise CallError(FailureCode.not_leader, 'not the leader', leader)
        return self._pipeline

    def _handle_job(self, link: Link, call: JobCall) -> Deferred[JobAnswer]:
        desk = QueueDesk(
            pipeline=self._leading(),
            stored=lambda: self._replica.state.batch,
        )
        return desk.answer(call, _wall_ms())

    def _handle_put(self, link: Link, put: PutRouting) -> Deferred[Nothing]:
        pipeline = self._leading()
        stored = self._replica.state.batch.routing
        if stored is not None and put.routing.version <= stored.version:
            return succeed(Nothing())
        _log.decision('puts routing', version=put.routing.version)
        recorded = pipeline.record(BatchChange(routing=put.routing))
        return recorded.addCallback(lambda _: Nothing())

    def _handle_read(self, link: Link, nothing: Nothing) -> RoutingAnswer:
        self._leading()
        return RoutingAnswer(routing=self._replica.state.batch.routing)

    def _handle_mark(
        self,
        link: Link,
        mark: DataCentreMark,
    ) -> Deferred[Nothing]:
        pipeline = self._leading()
        _log.decision(
            'marks data centre',
            data_centre=mark.data_centre,
            out=mark.out,
        )
        recorded = pipeline.record(BatchChange(marks=[mark]))
        return recorded.addCallback(lambda _: Nothing())

    def _handle_members(self, link: Link, nothing: Nothing) -> MemberList:
        members = self._replica.standing().members
        return MemberList(
            names=sorted({name_of(each.member_id) for each in members}),
        )

    def _handle_status(self, link: Link, nothing: Nothing) -> LeaderStatus:
        pipeline = self._leading()
        return LeaderStatus(is_configured=pipeline.book.routing is not None)

    def _handle_report(self, link: Link, report: WorkerReport) -> WorkerOrders:
        pipeline = self._leading()
        now = self._now()
        worker = self._meet(link, report, now)
        ends = take_report(self._fleet, worker, report, now)
        if report.refuses:
            ends.extend(lose_worker(worker))
        elif report.listed:
            worker.is_gone = False
        self._store_ends(pipeline, worker, ends)
        adjust_pace(worker)
        worker.lease_ends_at = max(worker.lease_ends_at, self._lease_end(now))
        return create_orders(
            self._fleet,
            worker,
            self._committed,
            self._lease_ms,
        )

    def _meet(self, link: Link, report: WorkerReport, now: float) -> Worker:
        """Return the worker of a report; its earlier lives are over."""
        agent = link.peer.name
        for other in list(self._fleet.workers_by_life.values()):
            if agent != other.agent and report.worker != other.name:
                continue
            if other.born_ms > report.born_ms:
                raise CallError(FailureCode.invalid, 'a newer life is known')
            if (other.name, other.born_ms) != (report.worker, report.born_ms):
                self._end_life(other)
        worker = self._fleet.open(report.worker, report.born_ms, now)
        if worker.agent != agent:
            _log.event('meets worker', worker=worker.name, agent=agent)
        worker.agent = agent
        self._links_by_life[worker.name, worker.born_ms] = link
        return worker

    def _end_life(self, worker: Worker) -> None:
        pipeline = self._pipeline
        _log.event(
            'worker has another life',
            worker=worker.name,
            runs=len(worker.charges_by_task),
        )
        if pipeline is not None and worker.charges_by_task:
            pipeline.add(BatchChange(ends=lose_worker(worker)))
        self._fleet.forget(worker)
        self._links_by_life.pop((worker.name, worker.born_ms), None)

    def _store_ends(
        self,
        pipeline: Pipeline,
        worker: Worker,
        ends: list[EndRun],
    ) -> None:
        for end in ends:
            _log.decision(
                'run ended',
                task=end.task,
                run=end.run,
                worker=worker.name,
                ending=end.ending.name,
            )
        if ends:
            change = pipeline.add(BatchChange(ends=ends))
            worker.pending_ends.append((worker.seen_end, change))
        elif not worker.pending_ends:
            worker.stored_end = max(worker.stored_end, worker.seen_end)


def create_batch_leader(
    context: Context,
    replica: Replica,
    dispatch: Dispatch,
    lease_ms: int,
) -> BatchLeader:
    """Create the part; ``lease_ms`` is granted to each reporting worker."""
    return BatchLeader(context, replica, dispatch, lease_ms)


def _copy(book: BatchBook) -> BatchBook:
    packed = pack(dump_book(book))
    return load_book(unpack(type(dump_book(book)), packed))


def _wall_ms() -> int:
    return int(time.time() * _MS)


def _log_failure(failure: Failure) -> None:
    _log.warning('step failed', error=repr(failure.value))

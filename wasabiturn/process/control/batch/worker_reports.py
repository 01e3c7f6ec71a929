"""Handling of agents' worker reports, which are answered with orders."""

from wasabiturn.batch.crashes.crash import forget_crash
from wasabiturn.batch.fleet import NEVER, Fleet, Worker
from wasabiturn.batch.orders.fences import raise_fence, succeed_worker
from wasabiturn.batch.orders.lost_runs import give_up_all_runs
from wasabiturn.batch.orders.open_orders import (
    find_overdue_starts,
    find_settled_starts,
    read_account,
)
from wasabiturn.batch.orders.withdrawals import find_starts_without_room
from wasabiturn.batch.placing.moves import record_earlier_moves
from wasabiturn.batch.placing.run_times import learn_from_ends
from wasabiturn.batch.placing.sharing import adjust_pace
from wasabiturn.batch.placing.worker_metrics import highest_tail
from wasabiturn.batch.reports import apply_report
from wasabiturn.connection.calls import CallError
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import (
    BatchChange,
    EndRun,
    WorkerOrders,
    WorkerReport,
)
from wasabiturn.messages.kinds import FailureCode
from wasabiturn.process import exposition
from wasabiturn.process.control.batch.bound_tasks import resume_runs
from wasabiturn.process.control.batch.leader_term import LeaderTerm
from wasabiturn.process.control.batch.stops import withdraw_starts
from wasabiturn.process.control.batch.token_requests import (
    follow_granted_token,
)
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('workers')


def answer_report(
    leader_term: LeaderTerm,
    link: Link,
    report: WorkerReport,
    now: float,
) -> WorkerOrders:
    """Process a report; return orders with a lease.

    Raises:
        CallError: the report is from an incarnation that has ended.
    """
    worker = _register_worker(leader_term, link, report, now)
    was_gone = worker.is_gone
    was_reconciled = worker.is_reconciled
    heard_at = worker.heard_at
    _store_ends(leader_term, worker, apply_report(worker, report, now))
    if was_gone and not worker.is_gone:
        forget_crash(worker)
        _log.event(
            'worker lists its runs again after they were given up',
            worker=worker.name,
            fence=worker.fence,
            running=len(report.running),
        )
    if worker.is_reconciled and not was_reconciled:
        resume_runs(leader_term.pipeline, worker, now)
    _store_start_outcomes(leader_term, worker, report, now)
    _follow_refusals(worker, report, now)
    if report.refuses:
        leader_term.crash_watch.record_crash(worker, heard_at, now)
        leader_term.give_up_runs(worker, 'nothing listens', now)
    _withdraw_starts_without_room(leader_term, worker)
    _adjust_pace(leader_term, worker, now)
    return leader_term.delivery.orders_for(
        worker, _grant_lease(leader_term, worker, report, now)
    )


def _follow_refusals(worker: Worker, report: WorkerReport, now: float) -> None:
    if not report.refuses:
        worker.refuses_since = None
    elif worker.refuses_since is None:
        worker.refuses_since = now


def _grant_lease(
    leader_term: LeaderTerm,
    worker: Worker,
    report: WorkerReport,
    now: float,
) -> int:
    """Return the lease for a worker in milliseconds; 0 for none.

    An agent without a current list cannot reach its worker to renew a lease. A
    worker whose runs were given up gets none before it has listed its runs
    under the raised token: a new lease would make their orders valid again.
    """
    if not report.listed or worker.is_gone:
        return 0
    worker.lease_ends_at = max(
        worker.lease_ends_at, leader_term.lease_expiry(now)
    )
    for predecessor in worker.predecessors:
        # This incarnation may run what the earlier one was ordered to start.
        predecessor.lease_ends_at = worker.lease_ends_at
    return leader_term.lease_ms


def _withdraw_starts_without_room(
    leader_term: LeaderTerm, worker: Worker
) -> None:
    """Withdraw starts if the worker has shrunk; its answer has the stops."""
    withdrawn = withdraw_starts(
        leader_term.fleet, find_starts_without_room(worker)
    )
    leader_term.delivery.send_all(withdrawn - {(worker.name, worker.born_ms)})


def _adjust_pace(leader_term: LeaderTerm, worker: Worker, now: float) -> None:
    """Set the pace of filling images; log which stall or resume."""
    before = set(worker.stalled_at_by_image)
    adjust_pace(worker, leader_term.interference, now)
    for image in before ^ set(worker.stalled_at_by_image):
        _log.decision(
            'filling image resumed'
            if image in before
            else 'filling image stalled',
            worker=worker.name,
            image=image,
            percent=worker.percent_by_image.get(image),
            highest_tail=highest_tail(worker),
        )


def _register_worker(
    leader_term: LeaderTerm,
    link: Link,
    report: WorkerReport,
    now: float,
) -> Worker:
    """Return the worker that a report is from; end earlier incarnations."""
    agent = link.peer.name
    worker = leader_term.fleet.find(report.worker, report.born_ms)
    if worker is None or not leader_term.fleet.is_reporting(worker, agent):
        worker = _take_over_from_others(leader_term, link, report, now)
    _follow_agent(leader_term.fleet, worker, link.peer.incarnation)
    follow_granted_token(leader_term.fleet, worker, report)
    leader_term.delivery.links_by_incarnation[worker.name, worker.born_ms] = (
        link
    )
    return worker


def _follow_agent(fleet: Fleet, worker: Worker, incarnation: str) -> None:
    """Make orders void that an earlier process of the agent may have sent."""
    if worker.agent_incarnation == incarnation:
        return
    if worker.agent_incarnation:
        raise_fence(fleet, worker)
        _log.event(
            'agent has restarted',
            worker=worker.name,
            agent=worker.agent,
            fence=worker.fence,
        )
    worker.agent_incarnation = incarnation


def _take_over_from_others(
    leader_term: LeaderTerm,
    link: Link,
    report: WorkerReport,
    now: float,
) -> Worker:
    agent = link.peer.name
    others = [
        other
        for other in leader_term.fleet.workers_by_incarnation.values()
        if agent == other.agent or report.worker == other.name
    ]
    if any(_is_newer(leader_term, other, link, report) for other in others):
        raise CallError(FailureCode.invalid, 'a newer life is known')
    worker = leader_term.fleet.open(report.worker, report.born_ms, now)
    for other in others:
        if other is not worker and not other.is_superseded:
            _limit_orders(other, agent, report, now)
            _judge_end(leader_term, other, link, now)
            _supersede_worker(leader_term, other, worker, now)
    if worker.heard_at == NEVER:
        _log.event('worker registered', worker=worker.name, agent=agent)
    worker.agent = agent
    leader_term.fleet.record_reporting(worker)
    return worker


def _is_newer(
    leader_term: LeaderTerm, other: Worker, link: Link, report: WorkerReport
) -> bool:
    """Return whether a life follows the reported one.

    The time of birth is on the worker's wall clock, which may be set back. An
    agent reports a life once the worker has confirmed it, so its newest word
    counts; only another process that still reports may know better.
    """
    if other.born_ms <= report.born_ms:
        return False
    if other.agent_incarnation == link.peer.incarnation:
        return False
    incarnation = (other.name, other.born_ms)
    other_link = leader_term.delivery.links_by_incarnation.get(incarnation)
    return other_link is not None and other_link.is_open


def _limit_orders(
    worker: Worker, agent: str, report: WorkerReport, now: float
) -> None:
    """Learn of open orders to a worker whose agent has another one now."""
    account = read_account(report, now)
    if account is not None and worker.agent == agent:
        account.limit_all(worker)


def _judge_end(
    leader_term: LeaderTerm, worker: Worker, link: Link, now: float
) -> None:
    """Judge the crash of a worker, unless its agent ended as well."""
    if worker.agent_incarnation in {'', link.peer.incarnation}:
        leader_term.crash_watch.record_crash(worker, worker.heard_at, now)


def _supersede_worker(
    leader_term: LeaderTerm, worker: Worker, successor: Worker, now: float
) -> None:
    """Give up the runs of a worker that a new incarnation replaces.

    If both have the same name, orders meant for the earlier incarnation may
    still reach the new one. Runs with such orders are kept until the new one
    has listed its runs under a higher token.
    """
    _log.event(
        'worker has a new incarnation',
        worker=worker.name,
        following=successor.name,
        following_born_ms=successor.born_ms,
        runs=sorted(worker.allocations_by_task),
    )
    worker.is_superseded = True
    leader_term.delivery.links_by_incarnation.pop(
        (worker.name, worker.born_ms), None
    )
    if worker.name == successor.name:
        leader_term.give_up_runs(worker, 'new incarnation', now)
    else:
        ends = give_up_all_runs(worker, now)
        leader_term.store_lost_runs(worker, ends, 'other worker', now)
    succeed_worker(leader_term.fleet, successor, worker)


def _store_start_outcomes(
    leader_term: LeaderTerm, worker: Worker, report: WorkerReport, now: float
) -> None:
    """Store which starts were answered, and which are overdue.

    Answered ones of lasting tasks are stored at once: a new leader that does
    not learn of it takes their orders for open.
    """
    settled = find_settled_starts(worker, now)
    overdue = find_overdue_starts(worker, report, now)
    pipeline = leader_term.pipeline
    allocations = worker.allocations_by_task
    limits = leader_term.delivery.find_due_limits(worker, pipeline.read_clock())
    change = BatchChange(settled=settled, overdue=overdue, limits=limits)
    pipeline.add_to_next(change)
    if limits or any(
        allocations[each.task].task.step.lasting for each in settled
    ):
        pipeline.schedule_flush()


def _store_ends(
    leader_term: LeaderTerm, worker: Worker, ends: list[EndRun]
) -> None:
    for end in ends:
        exposition.runs.labels(end.ending.name).inc()
        _log.decision(
            'run ended',
            task=end.task,
            run=end.run,
            worker=worker.name,
            ending=end.ending.name,
            has_open_order=end.has_open_order,
        )
    if ends:
        batch_state = leader_term.pipeline.batch_state
        learn_from_ends(leader_term.fleet, batch_state, ends, worker.heard_at)
        record_earlier_moves(leader_term.fleet, batch_state, ends)
        change = leader_term.store_ends(ends)
        worker.pending_ends.append((worker.seen_end, change))
    elif not worker.pending_ends:
        worker.committed_end = max(worker.committed_end, worker.seen_end)

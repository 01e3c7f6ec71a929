"""Handling of agents' worker reports, which are answered with orders."""

from wasabiturn.batch.fleet import NEVER, Worker
from wasabiturn.batch.reports import apply_report, mark_worker_gone
from wasabiturn.batch.sharing import adjust_pace
from wasabiturn.batch.worker_metrics import highest_tail
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
from wasabiturn.process.control.batch.leader_term import LeaderTerm
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
    ends = apply_report(leader_term.fleet, worker, report, now)
    if report.refuses:
        lost = mark_worker_gone(worker)
        ends.extend(lost)
        _log_lost_runs(worker, lost, 'nothing listens', now)
    elif report.listed:
        if worker.is_gone:
            _log.event(
                'worker lists its runs again after they were given up',
                worker=worker.name,
                running=len(report.running),
            )
        worker.is_gone = False
    _store_ends(leader_term, worker, ends)
    _adjust_pace(leader_term, worker, now)
    if not report.listed:
        # An agent that cannot reach its worker cannot renew its lease.
        return leader_term.orders_for(worker, lease_ms=0)
    worker.lease_ends_at = max(
        worker.lease_ends_at, leader_term.lease_expiry(now)
    )
    return leader_term.orders_for(worker, leader_term.lease_ms)


def _log_lost_runs(
    worker: Worker, lost: list[EndRun], reason: str, now: float
) -> None:
    if not lost:
        return
    exposition.given_up_runs.labels(reason).inc(len(lost))
    _log.event(
        'runs are given up',
        worker=worker.name,
        born_ms=worker.born_ms,
        reason=reason,
        lease_seconds=worker.lease_ends_at - now,
        runs=[f'{end.task}/{end.run}' for end in lost],
    )


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
        worker = _take_over_from_others(leader_term, agent, report, now)
    leader_term.links_by_incarnation[worker.name, worker.born_ms] = link
    return worker


def _take_over_from_others(
    leader_term: LeaderTerm,
    agent: str,
    report: WorkerReport,
    now: float,
) -> Worker:
    others = [
        other
        for other in leader_term.fleet.workers_by_incarnation.values()
        if agent == other.agent or report.worker == other.name
    ]
    if any(other.born_ms > report.born_ms for other in others):
        raise CallError(FailureCode.invalid, 'a newer life is known')
    worker = leader_term.fleet.open(report.worker, report.born_ms, now)
    for other in others:
        if other is not worker and not other.is_superseded:
            _supersede_worker(leader_term, other, worker)
    if worker.heard_at == NEVER:
        _log.event('worker registered', worker=worker.name, agent=agent)
    worker.agent = agent
    leader_term.fleet.record_reporting(worker)
    return worker


def _supersede_worker(
    leader_term: LeaderTerm, worker: Worker, successor: Worker
) -> None:
    """Give up the runs of a worker that a new incarnation replaces.

    If both have the same name, starts meant for the earlier incarnation may
    still reach the new one. Its runs are then given up only once the new one
    has refused them.
    """
    _log.event(
        'worker has a new incarnation',
        worker=worker.name,
        following=successor.name,
        following_born_ms=successor.born_ms,
        runs=sorted(worker.allocations_by_task),
    )
    worker.is_superseded = True
    worker.is_gone = True
    leader_term.links_by_incarnation.pop((worker.name, worker.born_ms), None)
    if worker.name == successor.name:
        successor.inherited_runs_by_task.update(worker.inherited_runs_by_task)
        successor.inherited_runs_by_task.update(
            (task, allocation.run)
            for task, allocation in worker.allocations_by_task.items()
        )
    elif worker.allocations_by_task:
        leader_term.pipeline.add(BatchChange(ends=mark_worker_gone(worker)))


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
        )
    if ends:
        change = leader_term.pipeline.add(BatchChange(ends=ends))
        worker.pending_ends.append((worker.seen_end, change))
    elif not worker.pending_ends:
        worker.committed_end = max(worker.committed_end, worker.seen_end)

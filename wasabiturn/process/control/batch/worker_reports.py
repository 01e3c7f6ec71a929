"""Reports of agents, taken in by the leader and answered with orders."""

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
from wasabiturn.process.control.batch.leader_term import Lead
from wasabiturn.utils.logs import create_part_log

_log = create_part_log('workers')


def answer_report(
    lead: Lead,
    link: Link,
    report: WorkerReport,
    now: float,
) -> WorkerOrders:
    """Take a report, and return orders with a lease.

    Raises:
        CallError: the report is of a life that is over.
    """
    worker = _meet(lead, link, report, now)
    ends = apply_report(lead.fleet, worker, report, now)
    if report.refuses:
        ends.extend(mark_worker_gone(worker))
    elif report.listed:
        worker.is_gone = False
    _store_ends(lead, worker, ends)
    _adjust_pace(lead, worker, now)
    if not report.listed:
        # An agent that does not reach its worker renews no lease there.
        orders = lead.orders_for(worker, lease_ms=0)
        orders.starts = []
        return orders
    worker.lease_ends_at = max(worker.lease_ends_at, lead.lease_end(now))
    return lead.orders_for(worker, lead.lease_ms)


def _adjust_pace(lead: Lead, worker: Worker, now: float) -> None:
    """Set the pace of filling work; log what comes to a halt or goes on."""
    before = set(worker.stalled_at_by_image)
    adjust_pace(worker, lead.interference, now)
    for image in before ^ set(worker.stalled_at_by_image):
        _log.decision(
            'resumes filling' if image in before else 'halts filling',
            worker=worker.name,
            image=image,
            percent=worker.percent_by_image.get(image),
            highest_tail=highest_tail(worker),
        )


def _meet(
    lead: Lead,
    link: Link,
    report: WorkerReport,
    now: float,
) -> Worker:
    """Return the worker of a report; its earlier lives are over."""
    agent = link.peer.name
    others = [
        other
        for other in lead.fleet.workers_by_incarnation.values()
        if agent == other.agent or report.worker == other.name
    ]
    if any(other.born_ms > report.born_ms for other in others):
        raise CallError(FailureCode.invalid, 'a newer life is known')
    worker = lead.fleet.open(report.worker, report.born_ms, now)
    for other in others:
        if other is not worker and not other.is_superseded:
            _end_life(lead, other, worker)
    if worker.heard_at == NEVER:
        _log.event('meets worker', worker=worker.name, agent=agent)
    worker.agent = agent
    lead.links_by_life[worker.name, worker.born_ms] = link
    return worker


def _end_life(lead: Lead, worker: Worker, following: Worker) -> None:
    """Give up what a worker ran before its machine began another life.

    Under the same name, starts that were meant for the earlier life may still
    reach the new one, so its runs are given up only once they are refused.
    """
    _log.event(
        'worker has another life',
        worker=worker.name,
        following=following.name,
        runs=len(worker.allocations_by_task),
    )
    worker.is_superseded = True
    worker.is_gone = True
    lead.links_by_life.pop((worker.name, worker.born_ms), None)
    if worker.name == following.name:
        following.inherited_runs_by_task.update(worker.inherited_runs_by_task)
        following.inherited_runs_by_task.update(
            (task, allocation.run)
            for task, allocation in worker.allocations_by_task.items()
        )
    elif worker.allocations_by_task:
        lead.pipeline.add(BatchChange(ends=mark_worker_gone(worker)))


def _store_ends(lead: Lead, worker: Worker, ends: list[EndRun]) -> None:
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
        change = lead.pipeline.add(BatchChange(ends=ends))
        worker.pending_ends.append((worker.seen_end, change))
    elif not worker.pending_ends:
        worker.committed_end = max(worker.committed_end, worker.seen_end)

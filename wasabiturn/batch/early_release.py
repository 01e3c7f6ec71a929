"""Lasting tasks that start elsewhere before their orders have expired.

An order was sent to one life of a worker. There it can begin nothing any more
once that life has listed its runs under a raised fencing token, or the lease in
the order has ended. A later life under the same name may still carry it out,
but only until its agent first reaches it.

Callers miss a lasting task all the while that it does not run, so it does not
wait for such a life. Other tasks do; see ``bindings.py``.
"""

from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.jobs import Task
from wasabiturn.batch.placing import REPORT_TIMEOUT_SECONDS

# A worker that crashed is often back sooner, and can take the task again.
CLOSED_PORT_SECONDS = 3.0


def is_lost_under_way(
    worker: Worker, allocation: Allocation, now: float
) -> bool:
    """Return whether an order was under way when its machine fell silent.

    One that the agent has named as overdue is carried out late, if it is.
    """
    if allocation.task.has_overdue_order or now < worker.lease_ends_at:
        return False
    return _is_silent(worker, now)


def may_start_elsewhere(fleet: Fleet, task: Task, now: float) -> bool:
    """Return whether no life that is known can begin a run of ``task``."""
    worker = fleet.reporting_by_agent.get(task.agent)
    if worker is None or _is_silent(worker, now):
        is_lost = task.name in fleet.tasks_lost_under_way
        return is_lost and not _may_have_lease(fleet, task, now)
    if worker.report.refuses:
        return _is_closed(worker, now)
    if worker.is_reconciled and worker.report.listed:
        return True
    return not _may_have_lease(fleet, task, now)


def _is_silent(worker: Worker, now: float) -> bool:
    return now >= worker.heard_at + REPORT_TIMEOUT_SECONDS


def _is_closed(worker: Worker, now: float) -> bool:
    """Return whether nothing has listened for long."""
    if worker.refuses_since is None:
        return False
    return now >= worker.refuses_since + CLOSED_PORT_SECONDS


def _may_have_lease(fleet: Fleet, task: Task, now: float) -> bool:
    """Return whether a life under the worker's name may hold a lease."""
    leases_end_at = [
        worker.lease_ends_at
        for worker in fleet.workers_by_incarnation.values()
        if worker.name == task.worker
    ]
    return now < max([fleet.earlier_leases_end_at, *leases_end_at])

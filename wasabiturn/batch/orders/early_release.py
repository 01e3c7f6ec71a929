"""Lasting tasks that start elsewhere before their orders have expired.

An order was sent to one life of a worker. There it can begin nothing any more
once that life has listed its runs under a raised fencing token, or the lease in
the order has ended. A later life under the same name may still carry it out,
but only until its agent first reaches it, and for a lease if none does.

Callers miss a lasting task all the while that it does not run, so it does not
wait for such a life. Other tasks do; see ``bindings.py``. Once a next life is
known it is waited for, until it has listed its runs.
"""

from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.state.jobs import Task

# A worker that crashed is often back sooner, and can take the task again.
CLOSED_PORT_SECONDS = 3.0


def is_lost_under_way(
    worker: Worker, allocation: Allocation, now: float
) -> bool:
    """Return whether a run went with its machine, before its order was overdue.

    An order that the agent has named as overdue may be carried out late.
    """
    if allocation.task.has_overdue_order or now < worker.lease_ends_at:
        return False
    return worker.is_silent(now)


def may_start_elsewhere(fleet: Fleet, task: Task, now: float) -> bool:
    """Return whether no life that reports can begin a run of ``task``.

    A life that has not listed its runs yet can.
    """
    successor = fleet.reporting_by_name.get(task.worker)
    worker = fleet.reporting_by_agent.get(task.agent)
    if _lacks(successor, task, now) or _lacks(worker, task, now):
        return True
    if worker is None or worker.is_silent(now):
        is_lost = task.name in fleet.tasks_lost_under_way
        return is_lost and not _may_be_leased(fleet, task, now)
    return _is_closed(worker, now)


def _lacks(worker: Worker | None, task: Task, now: float) -> bool:
    """Return whether ``worker`` lists its runs now, without the task."""
    if worker is None or worker.is_superseded or worker.is_silent(now):
        return False
    if not worker.is_reconciled or not worker.report.listed:
        return False
    return task.name not in worker.unexpected_runs_by_task


def _is_closed(worker: Worker, now: float) -> bool:
    """Return whether nothing has listened for long."""
    if worker.refuses_since is None:
        return False
    return now >= worker.refuses_since + CLOSED_PORT_SECONDS


def _may_be_leased(fleet: Fleet, task: Task, now: float) -> bool:
    """Return whether a life under the worker's name may hold a lease."""
    leases_end_at = [
        worker.lease_ends_at
        for worker in fleet.workers_by_incarnation.values()
        if worker.name == task.worker
    ]
    return now < max([fleet.earlier_leases_end_at, *leases_end_at])

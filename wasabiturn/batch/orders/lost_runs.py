"""Runs that went with the incarnation or the lease of their worker."""

from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.orders.fences import raise_fence
from wasabiturn.messages.batch import EndRun
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.messages.limits import START_PERMIT_SECONDS

# How long results of starts are awaited from where nothing listens.
RESULTS_SECONDS = 0.1


def find_expired_workers(fleet: Fleet, now: float) -> list[Worker]:
    """Return the workers with runs whose leases have all expired."""
    return [
        worker
        for worker in fleet.workers_by_incarnation.values()
        if worker.allocations_by_task and now >= worker.lease_ends_at
    ]


def awaits_results(worker: Worker, now: float) -> bool:
    """Return whether its agent is about to tell which starts were refused.

    Results no longer count once the token of the worker was raised.
    """
    if worker.is_gone or worker.refuses_since is None:
        return False
    if now >= worker.refuses_since + RESULTS_SECONDS:
        return False
    return any(
        each.is_ordered and not each.is_confirmed
        for each in worker.allocations_by_task.values()
    )


def give_up_runs(fleet: Fleet, worker: Worker, now: float) -> list[EndRun]:
    """Mark a worker gone; return ends of the runs that are certainly over.

    Its incarnation or its lease has ended, or nothing listens at its address.
    A run with an order that a new incarnation of the same name may carry out
    is over only once that one has listed its runs, or the order has expired.
    Its task is bound even then: the order may have begun a run just before.
    The run of a lasting task ends at once, and its task is bound.
    """
    is_awaiting = awaits_results(worker, now)
    if not worker.is_gone and not is_awaiting:
        worker.is_gone = True
        raise_fence(fleet, worker)
    ends: list[EndRun] = []
    for allocation in worker.allocations_by_task.values():
        _limit_to_permit(worker, allocation)
        ends_at_once = allocation.task.step.lasting and not is_awaiting
        if ends_at_once or not allocation.has_open_order(now):
            end = lost_end(allocation, now)
            end.has_open_order = allocation.may_have_late_run(now)
            ends.append(end)
    return ends


def give_up_all_runs(worker: Worker, now: float) -> list[EndRun]:
    """Mark a worker gone that has been replaced by one of another name.

    A task with an open order is bound to the old name, which may return.
    """
    worker.is_gone = True
    for each in (worker, *worker.predecessors):
        for charged in each.allocations_by_task.values():
            _limit_to_permit(each, charged)
    return [
        lost_end(allocation, now) for allocation in worker.list_allocations()
    ]


def _limit_to_permit(worker: Worker, allocation: Allocation) -> None:
    """Record that an agent sends no start long after it was last heard.

    Nor does it after the limit of the start.
    """
    last_contact_at = max(worker.heard_at, allocation.started_at)
    permit_ends_at = last_contact_at + START_PERMIT_SECONDS
    allocation.limit_orders(min(permit_ends_at, allocation.order_limit_at))


def lost_end(allocation: Allocation, now: float) -> EndRun:
    """Return the end of a run that is over without a listed end."""
    if not allocation.is_confirmed:
        end = not_started_end(allocation, now)
        end.crash_role = allocation.crash_role
        return end
    return EndRun(
        task=allocation.task.name,
        run=allocation.run,
        ending=RunEnding.lost,
        checkpoint=_checkpoint_of(allocation),
        has_open_order=allocation.has_open_order(now),
        open_ms=allocation.open_ms(now),
        crash_role=allocation.crash_role,
        worked_ms=allocation.worked_ms,
    )


def not_started_end(allocation: Allocation, now: float) -> EndRun:
    """Return the end of a run that never began."""
    return EndRun(
        task=allocation.task.name,
        run=allocation.run,
        ending=RunEnding.not_started,
        has_open_order=allocation.has_open_order(now),
        open_ms=allocation.open_ms(now),
    )


def _checkpoint_of(allocation: Allocation) -> str:
    if allocation.row is None or not allocation.task.step.checkpoints:
        return ''
    return allocation.row.checkpoint

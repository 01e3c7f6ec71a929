"""Evaluation of agents' reports: ends of runs, and runs that were lost.

Nothing here changes the replicated state; the leader commits the ends that are
returned. A run is ended only if it neither goes on nor can begin any more: its
end is listed; it is missing from the first list under a fencing token above
that of its orders; its worker refused all orders for it; or the incarnation or
the lease of its worker has ended, and no order for it is out that a new
incarnation under the same name could carry out.
"""

from collections.abc import Iterator

import attrs

from wasabiturn.batch.fleet import Allocation, Worker
from wasabiturn.batch.orders.lost_runs import lost_end, not_started_end
from wasabiturn.batch.orders.open_orders import OrderAccount, read_account
from wasabiturn.messages.batch import (
    EndedRow,
    EndRun,
    StartResult,
    WorkerReport,
)
from wasabiturn.messages.kinds import RunEnding, StartOutcome

# After this many consecutive failures a worker gets no new tasks for a time
# that doubles with each further failure.
AVOID_AFTER_FAILURES = 2
FIRST_AVOIDANCE_SECONDS = 2.0
MAX_AVOIDANCE_SECONDS = 16.0
# A worker that leaves its agent unanswered gets no new tasks for this long,
# which is longer than the time between two reports of that.
UNRESPONSIVE_AVOIDANCE_SECONDS = 1.5


def apply_report(
    worker: Worker,
    report: WorkerReport,
    now: float,
) -> list[EndRun]:
    """Apply a report of a worker incarnation; return the run ends to commit.

    The results of starts count without a current list as well: they are the
    worker's own answers.
    """
    worker.report = _keep_newer_announcement(worker.report, report)
    worker.heard_at = now
    if report.is_unresponsive:
        _avoid_unresponsive(worker, now)
    if report.fence != worker.fence:
        return []
    account = read_account(report, now)
    ends = _apply_listing(worker, report, account, now) if report.listed else []
    ends.extend(_apply_start_results(worker, report, account, now))
    if account is not None:
        account.limit_confirmed(worker, now)
    for end in ends:
        _track_failures(worker, end, now)
    return ends


def _keep_newer_announcement(
    known: WorkerReport, report: WorkerReport
) -> WorkerReport:
    """Return the report with what the newest announcement says.

    A report that was under way on another link may arrive after a newer one.
    Announcements that place the worker elsewhere are from different writers,
    and their sequences don't compare.
    """
    is_older = 0 < report.sequence < known.sequence
    if not is_older or not _has_same_place(known, report):
        return report
    return attrs.evolve(
        report,
        millicores=known.millicores,
        memory_mb=known.memory_mb,
        accelerators=known.accelerators,
        leaving=known.leaving,
        sequence=known.sequence,
    )


def _has_same_place(known: WorkerReport, report: WorkerReport) -> bool:
    return (known.service_name, known.data_centre) == (
        report.service_name,
        report.data_centre,
    )


def _apply_listing(
    worker: Worker,
    report: WorkerReport,
    account: OrderAccount | None,
    now: float,
) -> list[EndRun]:
    worker.listed_at = now
    worker.predecessors = [
        each for each in worker.predecessors if each.allocations_by_task
    ]
    _match_running_rows(worker, report, now)
    ends = [
        _to_end(worker, row, account, now) for row in _new_ends(worker, report)
    ]
    if not worker.is_reconciled and not report.truncated:
        worker.is_reconciled = True
        worker.is_gone = False
        ends.extend(_end_missing_runs(worker, report, account, now))
    return ends


def _match_running_rows(
    worker: Worker, report: WorkerReport, now: float
) -> None:
    worker.unexpected_runs_by_task = {}
    for row in report.running:
        allocation = worker.allocations_by_task.get(row.task)
        if allocation is None or allocation.run != row.run:
            worker.unexpected_runs_by_task[row.task] = row.run
            continue
        if not allocation.is_confirmed:
            allocation.confirm(now)
        allocation.row = row


def _new_ends(worker: Worker, report: WorkerReport) -> Iterator[EndedRow]:
    for row in sorted(report.ended, key=lambda each: each.number):
        if row.number > worker.seen_end:
            worker.seen_end = row.number
            yield row


def _to_end(
    worker: Worker, row: EndedRow, account: OrderAccount | None, now: float
) -> EndRun:
    allocation = _find_allocation(worker, row.task, row.run)
    if allocation is not None:
        if allocation.confirmed_at is None:
            # It has worked, until a moment ago as far as is known.
            allocation.confirmed_at = now
        _conclude_orders(worker, allocation, account, now)
    return EndRun(
        task=row.task,
        run=row.run,
        ending=row.ending,
        checkpoint=row.checkpoint,
        has_open_order=allocation is not None
        and allocation.has_open_order(now),
        open_ms=allocation.open_ms(now) if allocation else 0,
    )


def _find_allocation(worker: Worker, task: str, run: int) -> Allocation | None:
    return next(
        (
            allocation
            for allocation in worker.list_allocations()
            if (allocation.task.name, allocation.run) == (task, run)
        ),
        None,
    )


def _conclude_orders(
    worker: Worker,
    allocation: Allocation,
    account: OrderAccount | None,
    now: float,
) -> None:
    """Limit the orders for a run for which none is sent any more."""
    allocation.limit_orders(now)
    if account is None:
        return
    if worker.allocations_by_task.get(allocation.task.name) is allocation:
        account.limit(allocation)
    else:
        account.limit_unanswered(allocation)


def _end_missing_runs(
    worker: Worker,
    report: WorkerReport,
    account: OrderAccount | None,
    now: float,
) -> Iterator[EndRun]:
    """End the runs that the first list under a fencing token does not have.

    Those of earlier incarnations of the name are among them.
    """
    listed = {(row.task, row.run) for row in report.running}
    listed.update((row.task, row.run) for row in report.ended)
    for allocation in worker.list_allocations():
        if (allocation.task.name, allocation.run) not in listed:
            _conclude_orders(worker, allocation, account, now)
            yield lost_end(allocation, now)


def _apply_start_results(
    worker: Worker,
    report: WorkerReport,
    account: OrderAccount | None,
    now: float,
) -> Iterator[EndRun]:
    for result, allocation in _match_results(worker, report):
        if account is None and not result.has_unanswered_order:
            allocation.settle_orders()
        if result.result is StartOutcome.refused:
            _conclude_orders(worker, allocation, account, now)
            yield not_started_end(allocation, now)
        elif result.result is StartOutcome.started:
            allocation.confirm(now)


def _match_results(
    worker: Worker, report: WorkerReport
) -> Iterator[tuple[StartResult, Allocation]]:
    for result in report.results:
        allocation = worker.allocations_by_task.get(result.task)
        if allocation is not None and allocation.run == result.run:
            yield result, allocation


def _avoid_unresponsive(worker: Worker, now: float) -> None:
    """Place nothing on a worker that doesn't answer its agent, for a moment.

    Its agent refuses new starts, which would go there again at once.
    """
    worker.avoided_since = now
    worker.avoided_until = max(
        worker.avoided_until, now + UNRESPONSIVE_AVOIDANCE_SECONDS
    )


def _track_failures(worker: Worker, end: EndRun, now: float) -> None:
    if end.ending is RunEnding.done:
        worker.consecutive_failures = 0
    elif end.ending is RunEnding.failed:
        worker.consecutive_failures += 1
        excess_failures = worker.consecutive_failures - AVOID_AFTER_FAILURES
        if excess_failures >= 0:
            seconds = FIRST_AVOIDANCE_SECONDS * 2**excess_failures
            worker.avoided_since = now
            worker.avoided_until = now + min(seconds, MAX_AVOIDANCE_SECONDS)

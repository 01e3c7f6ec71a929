"""Evaluation of agents' reports: ends of runs, and runs that were lost.

Nothing here changes the replicated state; the leader commits the ends that are
returned. A run is ended only if it cannot go on: its end is listed, its worker
has a newer incarnation, nothing listens at its worker's address, its lease has
expired, or it is missing from the first list under this leader's fencing token.
"""

from collections.abc import Iterator

from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.messages.batch import EndedRow, EndRun, WorkerReport
from wasabiturn.messages.kinds import RunEnding, StartOutcome

# After this many consecutive failures a worker gets no new tasks for a time
# that doubles with each further failure.
AVOID_AFTER_FAILURES = 2
FIRST_AVOIDANCE_SECONDS = 2.0
MAX_AVOIDANCE_SECONDS = 16.0


def apply_report(
    fleet: Fleet,
    worker: Worker,
    report: WorkerReport,
    now: float,
) -> list[EndRun]:
    """Apply a report of a worker incarnation; return the run ends to commit.

    The results of starts count without a current list as well: they are the
    worker's own answers.
    """
    worker.report = report
    worker.heard_at = now
    if report.fence != fleet.fence:
        return []
    ends = _apply_listing(worker, report) if report.listed else []
    ends.extend(_apply_start_results(worker, report))
    ends.extend(_end_inherited_runs(worker, report))
    for end in ends:
        _track_failures(worker, end, now)
    return ends


def mark_worker_gone(worker: Worker) -> list[EndRun]:
    """Mark a worker gone, and return ends of all its runs as lost.

    Its incarnation or its lease is over, or nothing listens at its address.
    """
    worker.is_gone = True
    return [
        EndRun(
            task=allocation.task.name,
            run=allocation.run,
            ending=RunEnding.lost,
            checkpoint=_checkpoint_of(allocation),
        )
        for allocation in worker.allocations_by_task.values()
    ]


def find_expired_workers(fleet: Fleet, now: float) -> list[Worker]:
    """Return the workers with runs whose leases have all expired."""
    return [
        worker
        for worker in fleet.workers_by_incarnation.values()
        if worker.allocations_by_task and now >= worker.lease_ends_at
    ]


def _apply_listing(worker: Worker, report: WorkerReport) -> list[EndRun]:
    _match_running_rows(worker, report)
    ends = [_to_end(row) for row in _new_ends(worker, report)]
    if not worker.is_reconciled:
        worker.is_reconciled = True
        ends.extend(_end_missing_runs(worker, report))
    return ends


def _match_running_rows(worker: Worker, report: WorkerReport) -> None:
    worker.unexpected_runs_by_task = {}
    for row in report.running:
        allocation = worker.allocations_by_task.get(row.task)
        if allocation is None or allocation.run != row.run:
            worker.unexpected_runs_by_task[row.task] = row.run
            continue
        allocation.is_confirmed = True
        allocation.row = row


def _new_ends(worker: Worker, report: WorkerReport) -> Iterator[EndedRow]:
    for row in sorted(report.ended, key=lambda each: each.number):
        if row.number > worker.seen_end:
            worker.seen_end = row.number
            yield row


def _to_end(row: EndedRow) -> EndRun:
    return EndRun(
        task=row.task,
        run=row.run,
        ending=row.ending,
        checkpoint=row.checkpoint,
    )


def _end_missing_runs(worker: Worker, report: WorkerReport) -> Iterator[EndRun]:
    listed = {(row.task, row.run) for row in report.running}
    listed.update((row.task, row.run) for row in report.ended)
    for allocation in worker.allocations_by_task.values():
        if (allocation.task.name, allocation.run) not in listed:
            yield _not_started_end(allocation)


def _apply_start_results(
    worker: Worker,
    report: WorkerReport,
) -> Iterator[EndRun]:
    for result in report.results:
        allocation = worker.allocations_by_task.get(result.task)
        if allocation is None or allocation.run != result.run:
            continue
        if result.result is StartOutcome.refused:
            yield _not_started_end(allocation)
        elif result.result is StartOutcome.started:
            allocation.is_confirmed = True


def _end_inherited_runs(
    worker: Worker,
    report: WorkerReport,
) -> Iterator[EndRun]:
    """End runs of an earlier incarnation that this one refuses to start."""
    for result in report.results:
        run = worker.inherited_runs_by_task.get(result.task)
        if run == result.run and result.result is StartOutcome.refused:
            worker.inherited_runs_by_task.pop(result.task)
            yield EndRun(task=result.task, run=run, ending=RunEnding.lost)
    for row in report.ended:
        if worker.inherited_runs_by_task.get(row.task) == row.run:
            worker.inherited_runs_by_task.pop(row.task)


def _not_started_end(allocation: Allocation) -> EndRun:
    return EndRun(
        task=allocation.task.name,
        run=allocation.run,
        ending=RunEnding.not_started,
    )


def _checkpoint_of(allocation: Allocation) -> str:
    if allocation.row is None or not allocation.task.step.checkpoints:
        return ''
    return allocation.row.checkpoint


def _track_failures(worker: Worker, end: EndRun, now: float) -> None:
    if end.ending is RunEnding.done:
        worker.consecutive_failures = 0
    elif end.ending is RunEnding.failed:
        worker.consecutive_failures += 1
        excess_failures = worker.consecutive_failures - AVOID_AFTER_FAILURES
        if excess_failures >= 0:
            seconds = FIRST_AVOIDANCE_SECONDS * 2**excess_failures
            worker.avoided_until = now + min(seconds, MAX_AVOIDANCE_SECONDS)

"""Whether a worker accepts work at all, whatever the work is."""

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.state.batch_state import BatchState

# Agents report at least each second. A worker that is silent for longer may be
# lost; a task that is started there then waits until its order expires.
FRESH_REPORT_SECONDS = 1.3


def accepts_work(worker: Worker, batch_state: BatchState, now: float) -> bool:
    """Return whether a worker accepts work, whatever failed there before."""
    report = worker.report
    if not worker.is_reconciled or worker.is_gone:
        return False
    if report.leaving or report.refuses:
        return False
    if worker.heard_at <= worker.offer_missed_at:
        return False
    if worker.unexpected_runs_by_task:
        # Its runs that are to be stopped take resources that are not charged.
        return False
    if report.data_centre in batch_state.out_data_centres:
        return False
    return not worker.is_silent(now)


def is_fresh(worker: Worker, now: float) -> bool:
    """Return whether the last report of a worker's agent is not overdue."""
    return now < worker.heard_at + FRESH_REPORT_SECONDS

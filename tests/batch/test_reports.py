"""Tests of what the leader concludes from the reports about a worker."""

import attrs
import pytest

from tests.batch.jobs_fakes import accept, create_batch_state, step
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.orders.fences import (
    first_fence,
    next_fence,
    raise_fence,
    succeed_worker,
)
from wasabiturn.batch.orders.lost_runs import give_up_all_runs, give_up_runs
from wasabiturn.batch.reports import (
    UNRESPONSIVE_AVOIDANCE_SECONDS,
    apply_report,
)
from wasabiturn.messages.batch import (
    EndedRow,
    EndRun,
    RunningRow,
    StartResult,
    WorkerReport,
)
from wasabiturn.messages.kinds import RunEnding, StartOutcome
from wasabiturn.messages.limits import (
    FENCE_STEP,
    ORDER_LIFETIME_SECONDS,
    START_PERMIT_SECONDS,
)

TERM = 7
TASK = 'j.0.0.0'
# Of a worker that was heard at 4, and whose agent may have sent orders since.
LATEST_ORDER_END = 4 + START_PERMIT_SECONDS + ORDER_LIFETIME_SECONDS


def create_fleet() -> Fleet:
    return Fleet(fence=first_fence(TERM))


def open_worker(fleet: Fleet, name: str = 'w', born_ms: int = 1) -> Worker:
    """Return a worker incarnation that has run 1 of the task."""
    batch_state = create_batch_state(accept('j', step(1)))
    task = batch_state.tasks_by_name[TASK]
    task.run = 1
    worker = fleet.open(name, born_ms, lease_ends_at=10)
    worker.is_reconciled = True
    worker.allocate(task, now=0)
    return worker


def report_of(worker: Worker, **fields: object) -> WorkerReport:
    report = WorkerReport(worker=worker.name, fence=worker.fence, listed=True)
    return attrs.evolve(report, **fields)


def result_of(
    outcome: StartOutcome, is_unanswered: bool = False
) -> StartResult:
    return StartResult(
        task=TASK,
        run=1,
        result=outcome,
        has_unanswered_order=is_unanswered,
    )


def list_endings(ends: list[EndRun]) -> list[RunEnding]:
    return [end.ending for end in ends]


def test_each_term_has_higher_fences_than_all_raised_in_the_one_before() -> (
    None
):
    fleet = create_fleet()
    worker = open_worker(fleet)
    for _ in range(1000):
        raise_fence(fleet, worker)
    assert first_fence(TERM) < worker.fence < first_fence(TERM + 1)


def test_report_that_was_overtaken_does_not_bring_back_the_capacity() -> None:
    worker = open_worker(create_fleet())
    newer = report_of(worker, sequence=5, millicores=500, leaving=True)
    older = report_of(worker, sequence=4, millicores=4000)
    for report in (newer, older):
        apply_report(worker, report, now=1)
    assert (worker.report.millicores, worker.report.leaving) == (500, True)
    grown = report_of(worker, sequence=6, millicores=4000)
    apply_report(worker, grown, now=1)
    assert worker.report.millicores == 4000


def test_refusal_counts_in_a_report_without_a_current_list() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    report = report_of(
        worker, listed=False, results=[result_of(StartOutcome.refused)]
    )
    ends = apply_report(worker, report, now=1)
    assert list_endings(ends) == [RunEnding.not_started]


def test_start_is_confirmed_by_a_report_without_a_current_list() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    report = report_of(
        worker, listed=False, results=[result_of(StartOutcome.started)]
    )
    assert not apply_report(worker, report, now=1)
    assert worker.allocations_by_task[TASK].is_confirmed


@pytest.mark.parametrize('is_listed', [True, False])
def test_report_under_an_older_fence_ends_no_run(is_listed: bool) -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    report = report_of(
        worker, listed=is_listed, results=[result_of(StartOutcome.refused)]
    )
    raise_fence(fleet, worker)
    assert not apply_report(worker, report, now=1)
    assert not worker.is_reconciled


def test_first_list_under_a_raised_fence_ends_the_missing_run() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    raise_fence(fleet, worker)
    ends = apply_report(worker, report_of(worker), now=1)
    assert list_endings(ends) == [RunEnding.not_started]
    assert worker.is_reconciled


def test_truncated_list_does_not_end_a_missing_run() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    raise_fence(fleet, worker)
    assert not apply_report(worker, report_of(worker, truncated=True), now=1)
    assert not worker.is_reconciled
    ends = apply_report(worker, report_of(worker), now=2)
    assert list_endings(ends) == [RunEnding.not_started]


def test_run_with_an_open_order_is_not_given_up_with_the_lease() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    worker.heard_at = 4
    assert not give_up_runs(fleet, worker, now=10)
    assert worker.is_gone
    assert not give_up_runs(fleet, worker, now=LATEST_ORDER_END - 1)
    ends = give_up_runs(fleet, worker, now=LATEST_ORDER_END)
    assert list_endings(ends) == [RunEnding.not_started]


def test_answered_run_is_given_up_at_once() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    report = report_of(worker, results=[result_of(StartOutcome.started)])
    apply_report(worker, report, now=1)
    running = [RunningRow(task=TASK, run=1)]
    apply_report(worker, report_of(worker, running=running), now=2)
    assert list_endings(give_up_runs(fleet, worker, now=10)) == [RunEnding.lost]


def test_run_with_an_unanswered_order_is_not_given_up_at_once() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    report = report_of(
        worker,
        running=[RunningRow(task=TASK, run=1)],
        results=[result_of(StartOutcome.started, is_unanswered=True)],
    )
    apply_report(worker, report, now=1)
    assert not give_up_runs(fleet, worker, now=2)
    assert list_endings(
        give_up_runs(fleet, worker, now=1 + ORDER_LIFETIME_SECONDS)
    ) == [RunEnding.lost]


def test_fence_is_raised_once_when_runs_are_given_up() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    fence = worker.fence
    give_up_runs(fleet, worker, now=10)
    give_up_runs(fleet, worker, now=11)
    assert worker.fence == fence + FENCE_STEP


def test_worker_given_up_stays_gone_until_it_lists_under_the_new_fence() -> (
    None
):
    fleet = create_fleet()
    worker = open_worker(fleet)
    older = report_of(worker)
    give_up_runs(fleet, worker, now=10)
    apply_report(worker, older, now=11)
    assert worker.is_gone
    apply_report(worker, report_of(worker), now=12)
    assert not worker.is_gone


def test_next_fence_is_above_all_that_were_given_in_the_same_term() -> None:
    fleet = create_fleet()
    raise_fence(fleet, open_worker(fleet))
    assert next_fence(TERM, fleet.newest_fence) > fleet.newest_fence
    assert next_fence(TERM + 1, fleet.newest_fence) == first_fence(TERM + 1)


@pytest.mark.parametrize('name', ['w', 'another'])
def test_new_incarnation_has_a_higher_fence_than_the_one_before(
    name: str,
) -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    raise_fence(fleet, worker)
    successor = fleet.open(name, 2, lease_ends_at=0)
    succeed_worker(fleet, successor, worker)
    assert successor.fence > worker.fence


def test_list_of_a_new_incarnation_ends_runs_that_it_does_not_have() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    successor = fleet.open('w', 2, lease_ends_at=0)
    succeed_worker(fleet, successor, worker)
    ends = apply_report(successor, report_of(successor), now=1)
    assert list_endings(ends) == [RunEnding.not_started]


def test_run_that_a_new_incarnation_began_goes_on_until_its_end_is_listed() -> (
    None
):
    fleet = create_fleet()
    worker = open_worker(fleet)
    successor = fleet.open('w', 2, lease_ends_at=0)
    succeed_worker(fleet, successor, worker)
    running = report_of(successor, running=[RunningRow(task=TASK, run=1)])
    assert not apply_report(successor, running, now=1)
    assert successor.unexpected_runs_by_task == {TASK: 1}
    row = EndedRow(number=1, task=TASK, run=1, ending=RunEnding.stopped)
    ends = apply_report(successor, report_of(successor, ended=[row]), now=2)
    assert list_endings(ends) == [RunEnding.stopped]


def test_run_that_a_new_incarnation_may_have_takes_room_there() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    (allocation,) = worker.allocations_by_task.values()
    successor = fleet.open('w', 2, lease_ends_at=0)
    successor.report = WorkerReport(millicores=1500, memory_mb=1000)
    succeed_worker(fleet, successor, worker)
    assert not successor.has_room(1000, 100, 0)
    worker.release(allocation.task)
    assert successor.has_room(1000, 100, 0)


def test_runs_of_a_replaced_name_end_at_once() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    successor = fleet.open('w', 2, lease_ends_at=0)
    succeed_worker(fleet, successor, worker)
    ends = give_up_all_runs(successor, now=9)
    assert list_endings(ends) == [RunEnding.not_started]


def test_silent_worker_is_avoided_while_its_agent_reports_so() -> None:
    """Starts that it refused unsent went there again at once."""
    worker = open_worker(create_fleet())
    apply_report(worker, report_of(worker, is_unresponsive=True), now=5)
    assert worker.avoided_until == 5 + UNRESPONSIVE_AVOIDANCE_SECONDS
    apply_report(worker, report_of(worker, is_unresponsive=True), now=6)
    assert worker.avoided_until == 6 + UNRESPONSIVE_AVOIDANCE_SECONDS
    apply_report(worker, report_of(worker), now=7)
    assert worker.avoided_until == 6 + UNRESPONSIVE_AVOIDANCE_SECONDS

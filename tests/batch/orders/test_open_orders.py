"""Tests of what the leader learns of orders without an answer."""

from tests.batch.test_reports import (
    TASK,
    create_fleet,
    open_worker,
    report_of,
    result_of,
)
from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.orders.fences import succeed_worker
from wasabiturn.batch.orders.lost_runs import give_up_runs
from wasabiturn.batch.orders.open_orders import (
    find_settled_starts,
    read_account,
)
from wasabiturn.batch.reports import apply_report
from wasabiturn.messages.batch import (
    EndedRow,
    OpenOrder,
    OpenOrders,
    RunningRow,
    SettledStart,
)
from wasabiturn.messages.kinds import RunEnding, StartOutcome
from wasabiturn.messages.limits import ORDER_LIFETIME_SECONDS

OLD_PROCESS_MS = 60_000
STARTED = result_of(StartOutcome.started)
REFUSED = result_of(StartOutcome.refused)


def account_of(
    *ages_ms: int, known_ms: int = OLD_PROCESS_MS, is_answered: bool = False
) -> OpenOrders:
    orders = [
        OpenOrder(task=TASK, run=1, age_ms=age_ms, is_answered=is_answered)
        for age_ms in ages_ms
    ]
    return OpenOrders(known_ms=known_ms, orders=orders)


def orders_end_at(worker: Worker) -> float:
    return worker.allocations_by_task[TASK].orders_end_at


def test_refused_start_with_an_open_order_binds_its_task() -> None:
    for account, is_open in (
        (account_of(2000), True),
        (account_of(), False),
    ):
        worker = open_worker(create_fleet())
        report = report_of(worker, results=[REFUSED], open_orders=account)
        (end,) = apply_report(worker, report, now=5)
        assert end.has_open_order == is_open


def test_listed_end_with_an_open_order_binds_its_task() -> None:
    worker = open_worker(create_fleet())
    row = EndedRow(number=1, task=TASK, run=1, ending=RunEnding.failed)
    report = report_of(worker, ended=[row], open_orders=account_of(2000))
    (end,) = apply_report(worker, report, now=5)
    assert end.has_open_order


def test_run_missing_from_the_first_list_binds_its_task() -> None:
    worker = open_worker(create_fleet())
    worker.is_reconciled = False
    report = report_of(worker, open_orders=account_of(2000))
    (end,) = apply_report(worker, report, now=5)
    assert end.has_open_order


def test_order_that_a_successor_answered_does_not_bind_after_its_list() -> None:
    fleet = create_fleet()
    worker = open_worker(fleet)
    successor = fleet.open('w', 2, lease_ends_at=0)
    succeed_worker(fleet, successor, worker)
    account = account_of(2000, is_answered=True)
    (end,) = apply_report(
        successor, report_of(successor, open_orders=account), now=5
    )
    assert not end.has_open_order


def test_order_that_a_successor_answered_keeps_the_run_before_its_list() -> (
    None
):
    fleet = create_fleet()
    worker = open_worker(fleet)
    account = read_account(
        report_of(worker, open_orders=account_of(2000, is_answered=True)), now=5
    )
    assert account is not None
    account.limit_all(worker)
    assert not give_up_runs(fleet, worker, now=5)


def test_orders_of_an_earlier_process_are_open_for_a_lifetime() -> None:
    worker = open_worker(create_fleet())
    account = account_of(known_ms=2000)
    report = report_of(worker, results=[STARTED], open_orders=account)
    apply_report(worker, report, now=5)
    assert orders_end_at(worker) == 3 + ORDER_LIFETIME_SECONDS


def test_inherited_run_with_a_young_agent_may_have_open_orders() -> None:
    worker = open_worker(create_fleet())
    worker.allocations_by_task[TASK].is_inherited = True
    row = RunningRow(task=TASK, run=1)
    account = account_of(known_ms=9000)
    report = report_of(worker, running=[row], open_orders=account)
    apply_report(worker, report, now=5)
    assert orders_end_at(worker) == 5 - 9 + ORDER_LIFETIME_SECONDS


def test_run_counts_as_settled_once_its_orders_were_answered() -> None:
    worker = open_worker(create_fleet())
    report = report_of(worker, results=[STARTED], open_orders=account_of(10))
    apply_report(worker, report, now=5)
    (open_start,) = find_settled_starts(worker, now=5)
    assert open_start.open_ms > 0
    report = report_of(worker, open_orders=account_of())
    apply_report(worker, report, now=6)
    settled = SettledStart(task=TASK, run=1)
    assert find_settled_starts(worker, now=6) == [settled]


def test_agent_of_an_earlier_version_is_believed_its_results() -> None:
    worker = open_worker(create_fleet())
    report = report_of(worker, results=[REFUSED])
    (end,) = apply_report(worker, report, now=5)
    assert not end.has_open_order

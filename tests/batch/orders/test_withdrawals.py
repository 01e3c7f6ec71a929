"""Tests of the choice of starts that are withdrawn."""

from tests.batch.jobs_fakes import (
    accept,
    add_run,
    create_batch_state,
    create_worker,
    step,
)
from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.orders.withdrawals import find_starts_without_room
from wasabiturn.messages.batch import Step


def create_worker_with(*steps: Step) -> Worker:
    """Return a worker with one start, not yet confirmed, for each step."""
    worker = create_worker('w')
    batch_state = create_batch_state(accept('j', *steps))
    for task in batch_state.tasks_by_name.values():
        add_run(worker, task)
    return worker


def list_withdrawn(worker: Worker) -> list[str]:
    return [each.task.name for each in find_starts_without_room(worker)]


def test_only_starts_that_take_the_scarce_resource_are_withdrawn() -> None:
    worker = create_worker_with(
        step(millicores=0, memory_mb=500),
        step(millicores=2000, memory_mb=0),
        step(millicores=2000, memory_mb=0, fills=True, image='f'),
    )
    assert not list_withdrawn(worker)
    worker.report.millicores = 1000
    assert list_withdrawn(worker) == ['j.0.1.0']
    worker.report.memory_mb = 400
    assert list_withdrawn(worker) == ['j.0.0.0', 'j.0.1.0']


def test_start_for_a_missing_accelerator_is_withdrawn() -> None:
    worker = create_worker_with(step(), step(accelerators=1))
    worker.report.accelerators = 0
    assert list_withdrawn(worker) == ['j.0.1.0']


def test_run_that_has_begun_is_not_withdrawn() -> None:
    worker = create_worker_with(step(2))
    worker.allocations_by_task['j.0.0.0'].confirm(0)
    worker.report.millicores = 0
    assert list_withdrawn(worker) == ['j.0.0.1']


def test_nothing_is_withdrawn_before_the_worker_has_listed_its_runs() -> None:
    worker = create_worker_with(step())
    worker.report.millicores = 0
    worker.is_reconciled = False
    assert not list_withdrawn(worker)

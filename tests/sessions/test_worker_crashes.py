"""Tests of declared tasks on workers that crash and lose their runs."""

from typing import Any

import pytest

from tests.sessions.placement_fakes import Cluster
from wasabiturn.messages.kinds import TaskState
from wasabiturn.standins.worker_runs import RunRefusedError


def test_booking_started_before_a_crash_is_not_said_to_have_not_run() -> None:
    cluster = Cluster({'w1': 'a'})
    cluster.advance(2.5)
    cluster.cut('w1/worker', 'w1')
    cluster.put_job('book', idempotent=False, run_seconds=3)
    cluster.advance(0.5)
    assert cluster.fresh_starts['book.0'] == 1, cluster.lines
    cluster.crash_worker('w1')
    cluster.heal()
    cluster.advance(20)
    assert cluster.fresh_starts['book.0'] == 1, cluster.lines
    assert cluster.task('book.0').state is TaskState.outcome_unknown


def test_order_that_outlives_its_worker_incarnation_begins_nothing() -> None:
    cluster = Cluster({'w1': 'a'})
    cluster.advance(2.5)
    cluster.put_job('cut', idempotent=True, run_seconds=3)
    cluster.advance(0.5)
    ((_, run),) = cluster.running()
    worker = cluster.workers['w1']
    worker.restart()
    with pytest.raises(RunRefusedError, match='incarnation'):
        worker.start_run(run.order)


@pytest.mark.parametrize('idempotent', [True, False])
def test_start_that_never_arrived_is_made_again(idempotent: bool) -> None:
    cluster = Cluster({'w1': 'a'})
    cluster.advance(2.5)
    cluster.cut('w1', 'w1/worker')
    cluster.put_job('book', idempotent=idempotent, run_seconds=3)
    cluster.advance(0.5)
    assert not cluster.fresh_starts['book.0']
    cluster.heal()
    cluster.advance(20)
    assert cluster.task('book.0').state is TaskState.finished


CRASH_SECONDS = 0.05
WORKERS = {f'w{number}': 'ab'[number % 2] for number in range(6)}


class CrashingCluster(Cluster):
    """Cluster in which the tasks of ``poison`` crash their workers."""

    def __init__(self, down_seconds: float = 0) -> None:
        super().__init__(WORKERS)
        self.crashes = 0
        self.down_seconds = down_seconds
        self.advance(2.5)

    def _record_run(self, worker: str, event: str, run: Any) -> None:
        super()._record_run(worker, event, run)
        if event == 'start' and run.order.task.startswith('poison'):
            self.clock.callLater(CRASH_SECONDS, self._crash, worker)

    def _crash(self, worker: str) -> None:
        self.crashes += 1
        self.crash_worker(worker, self.down_seconds)


@pytest.mark.parametrize('down_seconds', [0, 1, 30])
@pytest.mark.parametrize('changes_leader', [False, True])
def test_task_that_crashes_its_workers_is_not_started_for_ever(
    changes_leader: bool, down_seconds: float
) -> None:
    cluster = CrashingCluster(down_seconds)
    cluster.put_job('poison', run_seconds=5)
    for leader in ('c2', 'c1') * 10:
        if changes_leader:
            cluster.set_leader(leader)
        cluster.advance(3)
    spec = cluster.task('poison.0')
    assert spec.state is TaskState.failed, cluster.lines
    assert 'crashed' in spec.reason
    assert cluster.crashes <= 3


@pytest.mark.parametrize('down_seconds', [0, 5])
def test_tasks_beside_one_that_crashes_workers_are_not_given_up(
    down_seconds: float,
) -> None:
    cluster = CrashingCluster(down_seconds)
    cluster.put_job('sound', tasks=20, run_seconds=8)
    cluster.advance(1)
    cluster.put_job('poison', run_seconds=5)
    cluster.advance(60)
    assert cluster.task('poison.0').state is TaskState.failed, cluster.lines
    assert cluster.crashes <= 3
    sound = [spec for spec in cluster.tasks() if spec.owner == 'sound']
    assert {spec.state for spec in sound} == {TaskState.finished}


def test_task_that_outlives_restarts_of_its_workers_is_not_given_up() -> None:
    cluster = Cluster(WORKERS)
    cluster.advance(2.5)
    cluster.put_job('sound', run_seconds=300)
    for _ in range(4):
        cluster.advance(70)
        cluster.crash_worker(cluster.task('sound.0').worker)
        cluster.advance(2)
    assert cluster.task('sound.0').state is TaskState.running


def test_replica_that_crashes_its_workers_is_still_wanted() -> None:
    cluster = CrashingCluster()
    cluster.put_service('poison')
    cluster.advance(5)
    assert cluster.task('poison.0').state is not TaskState.failed


def test_start_at_a_worker_that_is_down_is_made_elsewhere_at_once() -> None:
    cluster = Cluster({'w1': 'a', 'w2': 'b'})
    cluster.advance(2.5)
    cluster.crash_worker('w1', down_seconds=60)
    cluster.put_job('sound', tasks=4, run_seconds=5)
    cluster.advance(1)
    tasks = list(cluster.tasks())
    assert {spec.worker for spec in tasks} == {'w2'}, cluster.lines
    assert not any(spec.crashed_workers for spec in tasks)

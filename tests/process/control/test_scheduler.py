"""Tests of what the scheduler orders while a command is being committed."""

import pytest

from tests.sessions.placement_fakes import COMMIT_SECONDS, Cluster
from wasabiturn.messages.kinds import TaskState

SLOW_COMMIT_SECONDS = 2.0
# Longer than a worker stays a candidate for starts after its last heartbeat.
VERY_SLOW_COMMIT_SECONDS = 4.0
LEASE_END_SECONDS = 11.5


def create_cluster() -> Cluster:
    cluster = Cluster({'w1': 'a', 'w2': 'b'})
    cluster.advance(3)
    return cluster


def test_task_does_not_start_before_its_assignment_is_committed() -> None:
    cluster = create_cluster()
    cluster.commit_seconds = SLOW_COMMIT_SECONDS
    cluster.put_job('cut', run_seconds=20)
    cluster.advance(SLOW_COMMIT_SECONDS - 0.5)
    assert cluster.task('cut.0').state is TaskState.waiting
    assert cluster.running() == []
    cluster.advance(1.5)
    assert len(cluster.running()) == 1


def test_lost_assignment_does_not_run_beside_the_next_leaders_one() -> None:
    cluster = create_cluster()
    cluster.commit_seconds = SLOW_COMMIT_SECONDS
    cluster.put_job('cut', run_seconds=20)
    cluster.advance(SLOW_COMMIT_SECONDS - 0.5)
    cluster.commit_seconds = COMMIT_SECONDS
    for worker, _ in cluster.running():
        cluster.cut('c2', worker)
        cluster.cut(worker, 'c2')
    cluster.set_leader('c2')
    cluster.advance(5)
    assert cluster.faults == []
    assert len(cluster.running()) == 1


@pytest.mark.parametrize('rebuilds_table', [False, True])
def test_given_up_start_is_not_ordered_again_before_the_commit(
    rebuilds_table: bool,
) -> None:
    cluster = create_cluster()
    cluster.cut('c1', 'w1')
    cluster.put_job('cut', run_seconds=20)
    cluster.advance(0.3)
    assert cluster.task('cut.0').worker == 'w1'
    cluster.cut('w1', 'c1')
    cluster.commit_seconds = VERY_SLOW_COMMIT_SECONDS
    cluster.advance(LEASE_END_SECONDS)
    assert cluster.task('cut.0').state is TaskState.assigned
    if rebuilds_table:
        for callback in cluster.controls['c1'].replica.on_role_change:
            callback()
    cluster.heal()
    cluster.advance(0.7)
    cluster.freeze('w1')
    cluster.commit_seconds = COMMIT_SECONDS
    cluster.advance(5)
    assert cluster.faults == []
    assert [worker for worker, _ in cluster.running()] == ['w2']


def test_late_heartbeat_of_a_dead_agent_does_not_shut_its_successor_out() -> (
    None
):
    cluster = create_cluster()
    cluster.put_job('cut', run_seconds=30)
    cluster.advance(1)
    assert cluster.task('cut.0').worker == 'w1'
    cluster.network.extra_seconds = 3
    cluster.advance(1)
    cluster.restart_agent('w1')
    cluster.network.extra_seconds = 0
    cluster.set_leader('c2')
    cluster.advance(20)
    assert cluster.fresh_starts['cut.0'] == 1
    assert [worker for worker, _ in cluster.running()] == ['w1']

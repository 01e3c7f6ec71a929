"""Snapshot tests of placement under one fault or two combined faults."""

import pytest
from syrupy.assertion import SnapshotAssertion

from tests.sessions.placement_fakes import Cluster
from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import Capacity, Resource, TeamSpec

WORKERS = {'w1': 'a', 'w2': 'b'}


def create_cluster(**fields: object) -> Cluster:
    cluster = Cluster(dict(WORKERS), **fields)  # type: ignore[arg-type]
    cluster.advance(3)
    return cluster


def check_log(cluster: Cluster, snapshot: SnapshotAssertion) -> None:
    assert cluster.faults == []
    assert cluster.lines == snapshot


def test_job_is_placed_started_finished(snapshot: SnapshotAssertion) -> None:
    cluster = create_cluster()
    cluster.put_job('cut', tasks=2, run_seconds=4)
    cluster.advance(6)
    assert all(spec.state is TaskState.finished for spec in cluster.tasks())
    check_log(cluster, snapshot)


def test_new_leader_waits_and_goes_on(snapshot: SnapshotAssertion) -> None:
    cluster = create_cluster()
    cluster.put_job('cut', tasks=2, run_seconds=8)
    cluster.advance(0.15)
    cluster.set_leader(None)
    cluster.advance(1)
    cluster.set_leader('c2')
    cluster.advance(12)
    check_log(cluster, snapshot)


def test_killed_agent_comes_back_and_adopts(
    snapshot: SnapshotAssertion,
) -> None:
    cluster = create_cluster()
    cluster.put_job('cut', run_seconds=20)
    cluster.advance(2)
    cluster.kill_agent('w1')
    cluster.advance(4)
    cluster.restart_agent('w1')
    cluster.advance(20)
    assert cluster.fresh_starts['cut.0'] == 1
    check_log(cluster, snapshot)


def test_frozen_agent_loses_its_tasks(snapshot: SnapshotAssertion) -> None:
    cluster = create_cluster()
    cluster.put_job('cut', run_seconds=20)
    cluster.advance(2)
    cluster.freeze('w1')
    cluster.advance(12)
    cluster.thaw('w1')
    cluster.advance(20)
    check_log(cluster, snapshot)


def test_leader_and_agent_fail_together(snapshot: SnapshotAssertion) -> None:
    cluster = create_cluster()
    cluster.put_job('cut', run_seconds=6)
    cluster.advance(2)
    cluster.kill_agent('w1')
    cluster.set_leader(None)
    cluster.advance(2)
    cluster.set_leader('c2')
    cluster.advance(22)
    assert cluster.task('cut.0').state is TaskState.finished
    check_log(cluster, snapshot)


def test_worker_back_after_its_lease(snapshot: SnapshotAssertion) -> None:
    """The agent can't reach its worker until the run's lease has expired.

    After the reconnection the task runs again and finishes.
    """
    cluster = create_cluster()
    cluster.put_job('cut', run_seconds=30)
    cluster.advance(2)
    cluster.cut('w1', 'w1/worker')
    cluster.advance(15)
    cluster.heal()
    cluster.advance(35)
    assert cluster.task('cut.0').state is TaskState.finished
    check_log(cluster, snapshot)


@pytest.mark.parametrize(
    ('source', 'target'),
    [('w1', 'c1'), ('c1', 'w1'), ('w1/worker', 'w1')],
)
def test_one_way_cut(
    source: str,
    target: str,
    snapshot: SnapshotAssertion,
) -> None:
    cluster = create_cluster()
    cluster.put_job('cut', run_seconds=8)
    cluster.put_job('book', run_seconds=8, idempotent=False)
    cluster.advance(2)
    cluster.cut(source, target)
    cluster.advance(15)
    cluster.heal()
    cluster.advance(15)
    assert cluster.task('cut.0').state is TaskState.finished
    assert cluster.fresh_starts['book.0'] == 1
    check_log(cluster, snapshot)


def test_unknown_outcome_waits_for_the_worker(
    snapshot: SnapshotAssertion,
) -> None:
    """A run that isn't idempotent finishes while its agent is cut off.

    The outcome is unknown until the agent reports it after the reconnection.
    """
    cluster = create_cluster()
    cluster.put_job('book', run_seconds=3, idempotent=False)
    cluster.advance(2)
    cluster.cut('w1', 'c1')
    cluster.cut('w1', 'c2')
    cluster.advance(14)
    assert cluster.task('book.0').state is TaskState.outcome_unknown
    cluster.heal()
    cluster.advance(3)
    assert cluster.task('book.0').state is TaskState.finished
    check_log(cluster, snapshot)


@pytest.mark.parametrize('steps', range(8))
def test_eviction_interrupted_at_each_step(
    steps: int,
    snapshot: SnapshotAssertion,
) -> None:
    """Agent and leader fail together during an eviction.

    Each session injects the fault 0.05 s later than the previous one.
    """
    cluster = create_cluster()
    cluster.put_job('cut', run_seconds=6, idempotent=False)
    cluster.advance(3)
    cluster.take_out('a')
    cluster.advance(0.05 * steps)
    cluster.set_leader(None)
    cluster.restart_agent('w1')
    cluster.advance(1)
    cluster.set_leader('c2')
    cluster.advance(20)
    assert cluster.task('cut.0').state is TaskState.finished
    assert cluster.fresh_starts['cut.0'] == 1
    check_log(cluster, snapshot)


@pytest.mark.parametrize('seconds', [0.5, 3, 14])
def test_stop_confirmation_lost_or_late(
    seconds: float,
    snapshot: SnapshotAssertion,
) -> None:
    cluster = create_cluster()
    cluster.put_job('cut', run_seconds=6)
    cluster.advance(3)
    cluster.take_out('a')
    cluster.advance(0.1)
    cluster.cut('w1', 'c1')
    cluster.advance(seconds)
    cluster.heal()
    cluster.advance(20)
    assert cluster.task('cut.0').state is TaskState.finished
    check_log(cluster, snapshot)


def test_take_out_keeps_the_service_up(snapshot: SnapshotAssertion) -> None:
    cluster = create_cluster()
    cluster.put_service('web', replicas=2)
    cluster.put_job('cut', tasks=2, run_seconds=10)
    cluster.advance(2)
    cluster.take_out('a')
    for _ in range(100):
        cluster.advance(0.1)
        running_tasks = [run.order.task for _, run in cluster.running()]
        assert sum(task.startswith('web') for task in running_tasks) >= 2
    cluster.take_out('a', is_out=False)
    cluster.advance(10)
    assert len([task for task in cluster.tasks() if task.owner == 'web']) == 2
    check_log(cluster, snapshot)


def test_take_out_with_delayed_messages_and_leader_change(
    snapshot: SnapshotAssertion,
) -> None:
    cluster = create_cluster()
    cluster.put_job('cut', tasks=4, run_seconds=5)
    cluster.network.extra_seconds = 0.9
    cluster.advance(0.5)
    cluster.take_out('a')
    cluster.set_leader(None)
    cluster.advance(0.5)
    cluster.set_leader('c2')
    cluster.advance(6)
    cluster.network.extra_seconds = 0
    cluster.advance(25)
    assert all(spec.state is TaskState.finished for spec in cluster.tasks())
    check_log(cluster, snapshot)


def test_urgent_task_evicts_the_cheapest(snapshot: SnapshotAssertion) -> None:
    cluster = create_cluster(capacity=Capacity(4, 8000, 0))
    cluster.put_job('book', run_seconds=30, idempotent=False)
    cluster.put_job('cut', run_seconds=30)
    cluster.advance(3)
    cluster.put_job('proof', run_seconds=4, urgent=True)
    submitted_at = cluster.clock.seconds()
    while cluster.task('proof.0').state is not TaskState.running:
        cluster.advance(0.05)
        assert cluster.clock.seconds() < submitted_at + 4.1
    cluster.advance(40)
    assert all(spec.state is TaskState.finished for spec in cluster.tasks())
    check_log(cluster, snapshot)


def test_impossible_work_holds_nobody_up(snapshot: SnapshotAssertion) -> None:
    cluster = create_cluster()
    cluster.put_job('huge', size=Capacity(64, 1000, 0), tasks=2)
    cluster.put_job('cut', run_seconds=3)
    cluster.advance(5)
    assert cluster.task('huge.0').state is TaskState.impossible
    assert cluster.task('cut.0').state is TaskState.finished
    check_log(cluster, snapshot)


def test_worker_that_fails_everything_rests(
    snapshot: SnapshotAssertion,
) -> None:
    cluster = create_cluster()
    cluster.workers['w1'].runs.fails_everything = True
    for number in range(6):
        cluster.put_job(f'cut-{number}', run_seconds=2, max_failures=9)
    cluster.advance(20)
    assert all(spec.state is TaskState.finished for spec in cluster.tasks())
    failures = sum(spec.failures for spec in cluster.tasks())
    assert failures <= 6
    check_log(cluster, snapshot)


def test_quota_holds_a_team_back(snapshot: SnapshotAssertion) -> None:
    cluster = create_cluster()
    quota = TeamSpec(quota=Capacity(4, 4000, 0))
    cluster.put(Resource(kind=Kind.team, name='small', team_spec=quota))
    cluster.put_job('cut', team='small', tasks=2, run_seconds=3)
    cluster.put_job('render', tasks=2, run_seconds=3)
    cluster.advance(2)
    assert len(cluster.running()) == 3
    cluster.advance(8)
    assert all(spec.state is TaskState.finished for spec in cluster.tasks())
    check_log(cluster, snapshot)


def test_cancel_wave_does_not_starve_starts() -> None:
    cluster = create_cluster(capacity=Capacity(40, 64_000, 0))
    cluster.put_job('wave', tasks=3000, run_seconds=100)
    cluster.advance(2)
    cluster.put_job('wave', tasks=3000, run_seconds=100, cancelled=True)
    cluster.put_job('cut', run_seconds=1)
    cluster.advance(4)
    assert cluster.task('cut.0').state is TaskState.finished
    states = {spec.state for spec in cluster.tasks() if spec.owner == 'wave'}
    assert states == {TaskState.cancelled}
    assert cluster.faults == []

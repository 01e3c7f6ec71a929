"""Property-based test of placement under random sequences of faults."""

from typing import Any

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.sessions.placement_fakes import Cluster
from wasabiturn.messages.kinds import TaskState

WORKERS = ('w1', 'w2', 'w3')
INSTANCES = (*WORKERS, 'c1', 'c2', 'w1/worker', 'w2/worker')
# Covers a lease, its margin, and the time to place and run the tasks again.
RECOVERY_SECONDS = 60

workers = st.sampled_from(WORKERS)
instances = st.sampled_from(INSTANCES)
faults = st.one_of(
    st.tuples(st.just('kill_agent'), workers),
    st.tuples(st.just('restart_agent'), workers),
    st.tuples(st.just('freeze'), instances),
    st.tuples(st.just('thaw'), instances),
    st.tuples(st.just('cut'), instances, instances),
    st.tuples(st.just('heal')),
    st.tuples(st.just('set_leader'), st.sampled_from(('c1', 'c2', None))),
    st.tuples(st.just('take_out'), st.sampled_from('ab'), st.booleans()),
    st.tuples(st.just('slow'), st.floats(0, 1.5)),
)
waits = st.sampled_from((0.05, 0.5, 1, 3, 11))


@settings(
    max_examples=25,
    deadline=None,
    derandomize=True,
    phases=(Phase.explicit, Phase.generate, Phase.shrink),
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(st.tuples(faults, waits), max_size=14))
def test_invariants_hold_and_work_ends(steps: list[Any]) -> None:
    cluster = _create_cluster()
    for (name, *args), seconds in steps:
        if name == 'slow':
            cluster.network.extra_seconds = args[0]
        else:
            getattr(cluster, name)(*args)
        cluster.advance(seconds)
        assert cluster.faults == []
    _repair(cluster)
    cluster.advance(RECOVERY_SECONDS)
    assert cluster.faults == []
    _check_outcomes(cluster)


def _create_cluster() -> Cluster:
    cluster = Cluster({'w1': 'a', 'w2': 'b', 'w3': 'a'})
    cluster.advance(2.5)
    cluster.put_job('render', tasks=5, run_seconds=6)
    cluster.put_job('book', tasks=3, run_seconds=4, idempotent=False)
    cluster.put_service('web', replicas=2)
    cluster.advance(1)
    return cluster


def _repair(cluster: Cluster) -> None:
    cluster.heal()
    cluster.network.extra_seconds = 0
    for instance in INSTANCES:
        cluster.thaw(instance)
    for worker in WORKERS:
        if not cluster.agents[worker].alive:
            cluster.restart_agent(worker)
    for data_centre in 'ab':
        cluster.take_out(data_centre, is_out=False)
    if cluster.leader is None:
        cluster.set_leader('c1')


def _check_outcomes(cluster: Cluster) -> None:
    for spec in cluster.tasks():
        name = f'{spec.owner}.{spec.number}'
        if spec.owner == 'render':
            assert spec.state is TaskState.finished, (name, cluster.lines)
        elif spec.owner == 'book':
            known = {TaskState.finished, TaskState.outcome_unknown}
            assert spec.state in known, (name, cluster.lines)
            assert cluster.fresh_starts[name] <= 1, (name, cluster.lines)
        else:
            assert spec.state is TaskState.running, (name, cluster.lines)

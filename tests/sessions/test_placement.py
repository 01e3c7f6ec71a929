from syrupy.assertion import SnapshotAssertion

from tests.sessions.placement_fakes import Cluster
from wasabiturn.messages.kinds import TaskState


def test_job_is_placed_started_finished(snapshot: SnapshotAssertion) -> None:
    cluster = Cluster({'w1': 'a', 'w2': 'b'})
    cluster.advance(3)
    cluster.put_job('cut', tasks=2, run_seconds=4)
    cluster.advance(6)
    assert all(spec.state is TaskState.finished for spec in cluster.tasks())
    assert not cluster.faults
    assert cluster.lines == snapshot

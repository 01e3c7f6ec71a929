"""Tests of the attempt manager after unexpected errors."""

from tests.sessions.placement_fakes import Cluster
from wasabiturn.messages.kinds import TaskState


def test_agent_goes_on_after_a_failed_heartbeat() -> None:
    cluster = Cluster({'w1': 'a'})
    attempts = cluster.agents['w1'].attempts
    attempts.service_reports = lambda: [][0]
    cluster.advance(1)
    attempts.service_reports = list
    cluster.advance(2)
    cluster.put_job('render', run_seconds=2)
    cluster.advance(5)
    assert cluster.task('render.0').state is TaskState.finished


def test_agent_goes_on_after_a_reason_that_no_message_can_hold() -> None:
    cluster = Cluster({'w1': 'a'})
    cluster.advance(2.5)
    cluster.put_job('render', tasks=2, run_seconds=2)
    cluster.advance(1)
    (_, run), _ = cluster.running()
    cluster.workers['w1'].runs.stop(('render.0', run.order.attempt), '\ud800')
    cluster.advance(10)
    assert cluster.task('render.1').state is TaskState.finished
    assert cluster.task('render.0').state is TaskState.finished

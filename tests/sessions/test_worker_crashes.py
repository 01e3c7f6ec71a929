"""Tests of declared tasks on workers that crash and lose their runs."""

import pytest

from tests.sessions.placement_fakes import Cluster
from wasabiturn.messages.kinds import TaskState


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

"""Tests of the turns of suspects, and of those whose turn takes too long."""

import pytest

from tests.batch.isolation.test_suspects import (
    create_workers,
    later,
    play_starts,
    suspect,
)
from tests.batch.jobs_fakes import (
    accept,
    create_batch_state,
    create_fleet,
    step,
)
from tests.batch.test_decisions import NOW, plan
from wasabiturn.batch import BatchState
from wasabiturn.batch.crashes.proofs import SLOW_PROOF_SECONDS
from wasabiturn.batch.crashes.verdicts import MAX_CRASHES
from wasabiturn.batch.isolation.state import (
    MAX_REMEMBERED_CRASHES,
    MAX_TURN_SECONDS,
    IsolationState,
)
from wasabiturn.batch.isolation.turns import CALM_SECONDS

SERVICE = 'service'
WORKERS = 11
LONG_AGO = NOW.now - 60
PLAN_INTERVAL_SECONDS = 0.1


def create_suspects(tasks: int, crashes: int) -> BatchState:
    batch_state = create_batch_state(accept('j', step(tasks, millicores=100)))
    suspect(batch_state, *[f'j.0.0.{index}' for index in range(tasks)])
    for task in batch_state.suspects_by_name.values():
        task.crashes = crashes
    return batch_state


def service_of(batch_state: BatchState) -> str:
    (job,) = batch_state.jobs_by_id.values()
    return job.accepted.terms.service_name


def test_suspects_of_the_oldest_crash_come_first() -> None:
    """Newer suspects kept coming first, so older ones waited on and on."""
    batch_state = create_suspects(3, crashes=1)
    fleet = create_fleet(*create_workers(2))
    for position, name in enumerate(('j.0.0.1', 'j.0.0.0', 'j.0.0.2')):
        fleet.isolation.rank_by_task[name] = (position, 0)
    assert list(plan(batch_state, fleet)) == ['j.0.0.1']


@pytest.mark.parametrize('crashes', [1, 2, 3, 6])
def test_many_suspects_all_start_soon_in_calm(crashes: int) -> None:
    batch_state = create_suspects(60, crashes)
    fleet = create_fleet(*create_workers(WORKERS))
    begun = play_starts(batch_state, fleet, 20)
    assert len(begun) == 60
    assert max(begun.values()) <= MAX_TURN_SECONDS + PLAN_INTERVAL_SECONDS


def test_overdue_suspect_waits_for_no_other_that_is_tried() -> None:
    """Half of the workers may each have a suspect for another 3 s."""
    batch_state = create_suspects(6, crashes=2)
    fleet = create_fleet(*create_workers(10))
    begun = play_starts(batch_state, fleet, 20)
    assert sorted(begun.values())[-2] == 0
    assert max(begun.values()) == pytest.approx(MAX_TURN_SECONDS)
    assert MAX_TURN_SECONDS < SLOW_PROOF_SECONDS


def test_suspects_do_not_share_beside_further_crashes() -> None:
    batch_state = create_suspects(30, crashes=3)
    fleet = create_fleet(*create_workers(2))
    service_name = service_of(batch_state)
    for tenths in range(200):
        fleet.isolation.record_crash(service_name, NOW.now + tenths / 10)
    begun = play_starts(batch_state, fleet, 10)
    assert len(set(begun.values())) == len(begun) < 30


def test_few_crashes_in_a_large_service_are_calm() -> None:
    batch_state = create_suspects(90, crashes=3)
    fleet = create_fleet(*create_workers(60))
    service_name = service_of(batch_state)
    for _ in range(3):
        fleet.isolation.record_crash(service_name, NOW.now + 1)
    begun = play_starts(batch_state, fleet, 8)
    assert max(begun.values()) <= MAX_TURN_SECONDS + PLAN_INTERVAL_SECONDS


def test_suspects_whose_shared_worker_crashed_are_tried_alone() -> None:
    batch_state = create_suspects(30, crashes=3)
    fleet = create_fleet(*create_workers(2))
    fleet.isolation.alone_tasks.update(batch_state.suspects_by_name)
    begun = play_starts(batch_state, fleet, 10)
    first, second, *_ = sorted(begun.values())
    assert second - first >= SLOW_PROOF_SECONDS


def test_suspect_before_its_last_crash_is_tried_alone() -> None:
    batch_state = create_suspects(30, crashes=MAX_CRASHES - 1)
    fleet = create_fleet(*create_workers(2))
    begun = play_starts(batch_state, fleet, 10)
    first, second, *_ = sorted(begun.values())
    assert second - first >= SLOW_PROOF_SECONDS


def test_overdue_suspects_join_those_that_share_a_worker() -> None:
    batch_state = create_suspects(2, crashes=1)
    fleet = create_fleet(*create_workers(2))
    assert len(plan(batch_state, fleet)) == 1
    assert not plan(batch_state, fleet, later(1))
    (shared,) = (
        worker
        for worker in fleet.workers_by_incarnation.values()
        if worker.allocations_by_task
    )
    for worker in fleet.workers_by_incarnation.values():
        worker.heard_at = NOW.now + MAX_TURN_SECONDS + 1
    key = (shared.name, shared.born_ms)
    fleet.isolation.is_lasting_by_shared[key] = False
    placed = plan(batch_state, fleet, later(MAX_TURN_SECONDS + 1))
    assert list(placed.values()) == [shared.name]


def test_shared_workers_are_forgotten_with_their_suspects() -> None:
    isolation = IsolationState()
    isolation.is_lasting_by_shared = {('a', 1): False, ('b', 1): True}
    isolation.alone_tasks = {'t', 'u'}
    isolation.follow_shared([('b', 1)], ['u'])
    assert isolation.is_lasting_by_shared == {('b', 1): True}
    assert isolation.alone_tasks == {'u'}


def test_crashes_are_counted_for_each_service_and_forgotten() -> None:
    isolation = IsolationState()
    for number in range(MAX_REMEMBERED_CRASHES + 50):
        isolation.record_crash(SERVICE, number / 1000)
    crashes = isolation.count_crashes(SERVICE, LONG_AGO)
    assert crashes == MAX_REMEMBERED_CRASHES
    assert not isolation.count_crashes('other', LONG_AGO)
    assert not isolation.count_crashes(SERVICE, CALM_SECONDS)

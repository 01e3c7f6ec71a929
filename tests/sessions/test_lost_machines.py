"""Lasting tasks of machines that are lost with their agents, without a word."""

import pytest

from tests.sessions.batch_fakes import (
    BatchFleet,
    FakeAgent,
    create_step,
)
from wasabiturn.standins.batch_worker import SimulatedWork

LASTING = SimulatedWork(1000)
# A lasting task may be without a run for 6 s, and for 3 s that are calm.
MAX_AWAY_SECONDS = 9.0


def lose_machine(agent: FakeAgent) -> None:
    agent.is_partitioned = True
    agent.pause()
    agent.worker.crash()


def find_agent(fleet: BatchFleet, worker: str) -> FakeAgent:
    return next(
        each for each in fleet.agents if each.worker.identity.worker == worker
    )


@pytest.mark.parametrize('lost_after_seconds', [0.1, 0.3, 0.6, 0.9, 1.5])
def test_lasting_task_of_a_lost_machine_does_not_wait_for_its_answered_order(
    lost_after_seconds: float,
) -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1.5)
    fleet.submit('j', [create_step(1, lasting=True)], LASTING)
    fleet.run(0.1)
    ((_, _, _, first),) = fleet.run_starts
    fleet.run(lost_after_seconds)
    lose_machine(find_agent(fleet, first))
    fleet.run(MAX_AWAY_SECONDS)
    workers = [worker for _, _, _, worker in fleet.run_starts]
    assert len(workers) == 2
    assert workers[1] != first


def test_lasting_task_starts_on_no_machine_that_may_be_lost() -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1.5)
    fleet.submit('a', [create_step(1, lasting=True)], LASTING)
    fleet.run(1)
    # Lasting tasks of one image are packed on its worker.
    ((_, _, _, first),) = fleet.run_starts
    lose_machine(find_agent(fleet, first))
    fleet.run(1.4)
    fleet.submit('b', [create_step(2, lasting=True)], LASTING)
    fleet.run(0.5)
    assert [task for _, task, _, _ in fleet.run_starts] == [
        'a.0.0.0',
        'b.0.0.0',
        'b.0.0.1',
    ]


@pytest.mark.parametrize('answered_seconds', [0.03, 0.05, 0.08])
def test_new_leader_knows_that_the_start_of_a_lasting_task_was_answered(
    answered_seconds: float,
) -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1.5)
    fleet.submit('j', [create_step(1, lasting=True)], LASTING)
    while not fleet.run_starts:
        fleet.run(0.01)
    ((_, _, _, first),) = fleet.run_starts
    fleet.run(answered_seconds)
    fleet.change_leader(0.2)
    fleet.run(1)
    lose_machine(find_agent(fleet, first))
    fleet.run(MAX_AWAY_SECONDS)
    workers = [worker for _, _, _, worker in fleet.run_starts]
    assert len(workers) == 2
    assert workers[1] != first

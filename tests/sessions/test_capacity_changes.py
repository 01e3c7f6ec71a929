"""Test that starts follow the capacity of a worker that shrinks and grows."""

from tests.sessions.batch_fakes import (
    ANNOUNCE_INTERVAL_SECONDS,
    BatchFleet,
    FakeAgent,
    create_step,
)
from wasabiturn.standins.batch_worker import SimulatedWork

LONG_WORK = SimulatedWork(20)
# From an announcement to the next start: a report, a plan and a commit.
REACTION_SECONDS = 0.2


def begin_with_one_worker() -> tuple[BatchFleet, FakeAgent]:
    fleet = BatchFleet(workers=1)
    fleet.run(1.75)
    return fleet, fleet.agents[0]


def count_running(agent: FakeAgent, job: str) -> int:
    return sum(task.startswith(f'{job}.') for task in agent.worker.runs_by_task)


def test_work_that_waited_starts_as_soon_as_the_worker_has_grown() -> None:
    fleet, agent = begin_with_one_worker()
    agent.worker.change_capacity(millicores=1000)
    fleet.run(2 * ANNOUNCE_INTERVAL_SECONDS)
    fleet.submit('a', [create_step(4)], LONG_WORK)
    fleet.run(3)
    assert count_running(agent, 'a') == 1
    agent.worker.change_capacity(millicores=4000)
    agent.announce()
    fleet.run(REACTION_SECONDS)
    assert count_running(agent, 'a') == 4

"""Starts that were answered, and are told to the leader soon."""

import pytest

from tests.sessions.batch_fakes import BatchFleet, create_step
from tests.sessions.test_lost_machines import (
    MAX_AWAY_SECONDS,
    find_agent,
    lose_machine,
)
from wasabiturn.messages.batch import WorkerReport
from wasabiturn.standins.batch_worker import SimulatedWork

LONG_WORK = SimulatedWork(60)


@pytest.mark.parametrize('lost_after_seconds', [0.04, 0.1, 0.3, 0.6, 0.9])
def test_ordinary_task_of_a_lost_machine_does_not_wait_for_answered_order(
    lost_after_seconds: float,
) -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1.5)
    fleet.submit('j', [create_step(1)], LONG_WORK)
    while not fleet.run_starts:
        fleet.run(0.01)
    ((_, _, _, first),) = fleet.run_starts
    fleet.run(lost_after_seconds)
    lose_machine(find_agent(fleet, first))
    fleet.run(MAX_AWAY_SECONDS)
    workers = [worker for _, _, _, worker in fleet.run_starts]
    assert len(workers) == 2
    assert workers[1] != first


def test_answers_that_come_together_are_not_reported_one_by_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1.5)
    agent = fleet.agents[0]
    call = agent.call
    reports: list[WorkerReport] = []

    def record(method, message, *rest):  # type: ignore[no-untyped-def]
        reports.append(message)
        return call(method, message, *rest)

    monkeypatch.setattr(agent, 'call', record)
    fleet.submit('j', [create_step(8, millicores=500)], LONG_WORK)
    fleet.run(0.2)
    assert len(fleet.run_starts) == 8
    # One with the answers, one with a list of the worker at most.
    assert 1 <= len(reports) <= 2
    assert len(reports[-1].results) + len(reports[-1].running) >= 8

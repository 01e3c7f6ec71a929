"""Test agents that restart while another writer announces their worker.

A new process knows no fencing token, so the worker refuses its first hold with
the reason ``fence``. That proves the name of the worker, not its life.
"""

import attrs
import pytest

from tests.sessions.batch_fakes import BatchFleet, FakeAgent
from tests.sessions.test_foreign_announcements import (
    FORGERIES,
    WORK_SECONDS,
    Forgery,
    forge_next_life,
    run_a_task,
)
from wasabiturn.messages.kinds import Method
from wasabiturn.process.agent.runs.port import WorkerIdentity

WALL_CLOCK_SECONDS = 3600


def forge_earlier_life(agent: FakeAgent) -> WorkerIdentity:
    """Return a late announcement of an earlier life, otherwise valid."""
    return attrs.evolve(agent.worker.identity, born_ms=-1, sequence=10**6)


def restart_with(agent: FakeAgent, *identities: WorkerIdentity) -> None:
    """Restart the agent; its new process gets these announcements first."""
    agent.restart()
    for identity in identities:
        agent.reconciler.announce(identity)


@pytest.mark.parametrize('forgery', [*FORGERIES, forge_earlier_life])
def test_first_foreign_announcement_starts_no_second_run(
    forgery: Forgery,
) -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1)
    agent = run_a_task(fleet)
    restart_with(agent, forgery(agent))
    fleet.run(WORK_SECONDS + 1)
    assert [run for _, _, run, _ in fleet.run_starts] == [1]
    assert [task for _, task, _, _ in fleet.run_ends] == ['j.0.0.0']


@pytest.mark.parametrize('forgery', [*FORGERIES, forge_earlier_life])
def test_worker_is_used_after_a_first_foreign_announcement(
    forgery: Forgery,
) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = run_a_task(fleet)
    fleet.run(WORK_SECONDS)
    restart_with(agent, forgery(agent), forge_next_life(agent))
    fleet.run(2)
    fleet.submit('k', fleet._steps_by_job['j'])
    fleet.run(1)
    assert fleet.run_starts[-1][1] == 'k.0.0.0'


def test_foreign_announcement_before_the_new_leader_knows_the_worker() -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1)
    agent = run_a_task(fleet)
    agent.reconciler.close()
    fleet.change_leader(0.1)
    restart_with(agent, forge_next_life(agent))
    fleet.run(WORK_SECONDS + 1)
    assert [run for _, _, run, _ in fleet.run_starts] == [1]
    assert [task for _, task, _, _ in fleet.run_ends] == ['j.0.0.0']


def test_leader_that_knows_no_life_of_the_worker_gives_a_usable_token() -> None:
    fleet = BatchFleet(workers=1)
    agent = fleet.agents[0]
    fleet.run(1)
    agent.reconciler.close()
    fleet.change_leader(0.1)
    agent.restart()
    fleet.run(2)
    assert run_a_task(fleet) is agent


def test_agent_asks_again_when_the_leader_was_out_of_reach() -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1)
    agent = run_a_task(fleet)
    agent.is_partitioned = True
    restart_with(agent, forge_next_life(agent))
    fleet.run(1.5)
    agent.is_partitioned = False
    fleet.run(WORK_SECONDS)
    assert [run for _, _, run, _ in fleet.run_starts] == [1]


@pytest.mark.parametrize('wall_clock_seconds', [0, -WALL_CLOCK_SECONDS])
def test_next_life_is_followed_by_an_agent_restarted_with_it(
    wall_clock_seconds: float,
) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = run_a_task(fleet)
    ended = agent.worker.identity
    agent.worker.start_incarnation(wall_clock_seconds=wall_clock_seconds)
    restart_with(agent, attrs.evolve(ended, sequence=10**6))
    fleet.run(3)
    assert [run for _, _, run, _ in fleet.run_starts] == [1, 2]


def test_restarted_agent_follows_a_worker_that_refuses_holds_first() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = run_a_task(fleet)
    agent.worker.refuses_holds = True
    restart_with(agent, forge_next_life(agent))
    fleet.run(2)
    agent.worker.refuses_holds = False
    fleet.run(WORK_SECONDS)
    assert [run for _, _, run, _ in fleet.run_starts] == [1]
    fleet.submit('k', fleet._steps_by_job['j'])
    fleet.run(1)
    assert fleet.run_starts[-1][1] == 'k.0.0.0'


def test_restarted_agent_follows_its_worker_under_an_older_leader() -> None:
    """Leaders of earlier versions don't answer the request for a token."""
    fleet = BatchFleet(workers=1)
    fleet.dispatch.calls_by_method.pop(Method.worker_token)
    fleet.run(1)
    agent = run_a_task(fleet)
    agent.restart()
    fleet.run(WORK_SECONDS + 1)
    assert [task for _, task, _, _ in fleet.run_ends] == ['j.0.0.0']

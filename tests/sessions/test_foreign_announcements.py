"""Test announcements that another writer sends to the agent of a worker."""

from collections.abc import Callable
from typing import Any

import attrs
import pytest

from tests.sessions.batch_fakes import BatchFleet, FakeAgent, create_step
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.messages.limits import FENCE_STEP
from wasabiturn.process.agent.runs.life_verifier import MAX_PENDING_LIVES
from wasabiturn.process.agent.runs.port import WorkerIdentity
from wasabiturn.standins.batch_worker import SimulatedWork

WORK_SECONDS = 4.0
# Longer than a lease, which must be renewed meanwhile.
LONG_WORK_SECONDS = 15.0
# For a day: other writers go on sending.
MANY_ANNOUNCEMENTS = 200

Forgery = Callable[[FakeAgent], WorkerIdentity]


def forge(agent: FakeAgent, **fields: Any) -> WorkerIdentity:
    """Return the announcement of a service that nobody has configured."""
    fields = {'service_name': 'elsewhere', 'sequence': 1_000_000} | fields
    return attrs.evolve(agent.worker.identity, **fields)


def forge_other_worker(agent: FakeAgent) -> WorkerIdentity:
    return forge(agent, worker='foreign', born_ms=10**12)


def forge_next_life(agent: FakeAgent) -> WorkerIdentity:
    return forge(agent, born_ms=10**12)


def forge_same_life(agent: FakeAgent) -> WorkerIdentity:
    return forge(agent, millicores=1)


FORGERIES = [forge_other_worker, forge_next_life, forge_same_life]


def run_a_task(fleet: BatchFleet, seconds: float = WORK_SECONDS) -> FakeAgent:
    """Start a task; return the agent of the worker that runs it."""
    fleet.submit('j', [create_step(1)], SimulatedWork(seconds))
    fleet.run(0.5)
    return next(each for each in fleet.agents if each.worker.runs_by_task)


def use_successor(fleet: BatchFleet, agent: FakeAgent) -> None:
    """Replace the worker, and run a task."""
    agent.worker.start_incarnation('successor')
    agent.announce()
    fleet.run(0.5)
    run_a_task(fleet)


@pytest.mark.parametrize('forgery', FORGERIES)
def test_foreign_announcement_starts_no_second_run_of_what_goes_on(
    forgery: Forgery,
) -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1)
    agent = run_a_task(fleet)
    agent.reconciler.announce(forgery(agent))
    fleet.run(WORK_SECONDS + 1)
    assert [run for _, _, run, _ in fleet.run_starts] == [1]
    assert [task for _, task, _, _ in fleet.run_ends] == ['j.0.0.0']


@pytest.mark.parametrize('forgery', FORGERIES)
def test_worker_is_used_beside_foreign_announcements(forgery: Forgery) -> None:
    fleet = BatchFleet(workers=1)
    agent = fleet.agents[0]
    agent.reconciler.announce(forgery(agent))
    for _ in range(3):
        fleet.run(1)
        agent.reconciler.announce(forgery(agent))
    fleet.run(2)
    assert run_a_task(fleet) is agent


def test_foreign_announcement_of_another_agents_worker_takes_nothing() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    agent = run_a_task(fleet)
    other = next(each for each in fleet.agents if each is not agent)
    other.reconciler.announce(forge(agent, born_ms=10**12))
    fleet.run(WORK_SECONDS + 1)
    assert [run for _, _, run, _ in fleet.run_starts] == [1]


def test_many_foreign_lives_are_not_all_verified_at_a_time() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = fleet.agents[0]
    agent.worker.refuses_holds = True
    holds = 0
    hold = agent.worker.hold

    def count(*arguments: Any) -> Any:
        nonlocal holds
        holds += 1
        return hold(*arguments)

    agent.worker.hold = count  # type: ignore[method-assign]
    for number in range(MANY_ANNOUNCEMENTS):
        agent.reconciler.announce(forge(agent, worker=f'foreign-{number}'))
    assert holds <= MAX_PENDING_LIVES


def test_life_that_no_worker_confirms_does_not_keep_the_next_one_out() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = fleet.agents[0]
    for number in range(MAX_PENDING_LIVES):
        agent.reconciler.announce(forge(agent, worker=f'foreign-{number}'))
    fleet.run(0.1)
    use_successor(fleet, agent)
    assert fleet.run_starts[0][3] == 'successor'


def test_ids_that_cannot_be_sent_do_not_end_the_verification() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = fleet.agents[0]
    hold = agent.worker.hold

    def refuse_id(identity: WorkerIdentity, request: Any) -> Any:
        identity.worker.encode('latin-1')
        return hold(identity, request)

    agent.worker.hold = refuse_id  # type: ignore[method-assign]
    for number in range(MAX_PENDING_LIVES):
        agent.reconciler.announce(forge(agent, worker=f'\u20ac{number}'))
    fleet.run(2)
    use_successor(fleet, agent)
    assert fleet.run_starts[0][3] == 'successor'


def check_that_no_run_lapses(fleet: BatchFleet) -> None:
    fleet.run(LONG_WORK_SECONDS + 1)
    assert [run for _, _, run, _ in fleet.run_starts] == [1]
    assert [ending for *_, ending in fleet.run_ends] == [RunEnding.done]


@pytest.mark.parametrize('forgery', FORGERIES)
def test_lease_is_renewed_after_a_foreign_announcement(
    forgery: Forgery,
) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = run_a_task(fleet, LONG_WORK_SECONDS)
    agent.reconciler.announce(forgery(agent))
    check_that_no_run_lapses(fleet)


@pytest.mark.parametrize('seconds', [0.02, 0.3, 1.5])
def test_lease_is_renewed_beside_announcements_of_ever_later_lives(
    seconds: float,
) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = run_a_task(fleet, LONG_WORK_SECONDS)
    for number in range(round(LONG_WORK_SECONDS / seconds)):
        agent.reconciler.announce(forge(agent, born_ms=10**12 + number))
        fleet.run(seconds)
    check_that_no_run_lapses(fleet)


def test_lease_is_renewed_after_an_announcement_that_was_not_refuted() -> None:
    """The worker refuses holds until the agent has given up its question."""
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = run_a_task(fleet, LONG_WORK_SECONDS)
    agent.worker.refuses_holds = True
    agent.reconciler.announce(forge_next_life(agent))
    fleet.run(2)
    agent.worker.refuses_holds = False
    check_that_no_run_lapses(fleet)


def test_late_announcement_after_the_clock_was_set_back_ends_no_lease() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = fleet.agents[0]
    ended = agent.worker.identity
    agent.worker.start_incarnation(wall_clock_seconds=-60)
    fleet.run(2)
    run_a_task(fleet, LONG_WORK_SECONDS)
    agent.reconciler.announce(ended)
    check_that_no_run_lapses(fleet)


def test_announcements_of_later_lives_do_not_use_up_the_tokens() -> None:
    """Without one left, a next life would carry out the orders to this one."""
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = fleet.agents[0]
    for number in range(FENCE_STEP + 1):
        agent.reconciler.announce(forge(agent, born_ms=10**12 + number))
        fleet.run(0.05)
    assert run_a_task(fleet) is agent
    token = agent.reconciler._contact.token
    before = token.value
    token.raise_own('test')
    assert token.value > before

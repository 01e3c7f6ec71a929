"""Jobs for which the members of the group have no room."""

from tests.sessions.batch_fakes import BatchFleet, create_step
from wasabiturn.batch.state.ended_jobs import STATUS_SECONDS
from wasabiturn.messages.kinds import JobOutcome, JobState, Role
from wasabiturn.messages.link import Hello, StateBudget
from wasabiturn.messages.raft import Member
from wasabiturn.process.control.batch.group_budget import (
    MAX_STRANGERS,
    GroupBudget,
)
from wasabiturn.standins.batch_worker import SimulatedWork
from wasabiturn.version.replica import MemberStatus

BUDGET = StateBudget(memory_bytes=60_000, stored_bytes=1_000_000)


class FakeReplica:
    def __init__(self, *names: str) -> None:
        self.names = names

    def member_status(self) -> MemberStatus:
        members = tuple(Member(member_id=f'{name}/0') for name in self.names)
        return MemberStatus(role='leader', term=1, members=members)


class FakeLink:
    def __init__(self, name: str, role: Role, budget: StateBudget) -> None:
        self.peer = Hello(name=name, role=role, state_budget=budget)


def create_fleet(budget: StateBudget = BUDGET) -> BatchFleet:
    fleet = BatchFleet()
    fleet.leader._admission._find_budget = lambda: budget
    return fleet


def test_a_job_without_room_is_refused_with_a_time_and_accepted_later() -> None:
    fleet = create_fleet()
    names = [f'j{number}' for number in range(9)]
    answers = [fleet.submit(name, [create_step(2)]) for name in names]
    outcomes = [answer.outcome for answer in answers]
    refused = outcomes.index(JobOutcome.busy)
    assert refused > 0
    assert answers[refused].retry_after_ms > 0
    assert set(outcomes[:refused]) == {JobOutcome.ok}
    fleet.run_until('j0', JobState.done, seconds=30)
    answer = fleet.submit(names[refused], [create_step(2)])
    assert answer.outcome is JobOutcome.ok


def test_a_job_that_is_stored_is_acknowledged_again_without_room() -> None:
    fleet = create_fleet()
    for number in range(9):
        fleet.submit(f'j{number}', [create_step(2)])
    assert fleet.submit('j0', [create_step(2)]).outcome is JobOutcome.ok


def test_ended_jobs_give_up_their_room_after_the_promised_time() -> None:
    fleet = create_fleet()
    for number in range(5):
        name = f'j{number}'
        fleet.submit(name, [create_step(1)], SimulatedWork(0.1))
        fleet.run_until(name, JobState.done, seconds=5)
    fleet.run(STATUS_SECONDS + 1)
    ended = fleet.replica.state.batch.ended_jobs_by_id
    assert len(ended) == 1


def test_the_smallest_member_bounds_all() -> None:
    budget = GroupBudget(BUDGET, FakeReplica('c1', 'c2'))  # type: ignore[arg-type]
    assert budget.find() == BUDGET
    smaller = StateBudget(memory_bytes=10, stored_bytes=2_000_000)
    for stranger in range(2 * MAX_STRANGERS):
        link = FakeLink(f's{stranger}', Role.control, smaller)
        budget.record(link)  # type: ignore[arg-type]
    assert budget.find() == BUDGET
    assert len(budget.budgets_by_name) == MAX_STRANGERS
    budget.record(FakeLink('c2', Role.entry, smaller))  # type: ignore[arg-type]
    assert budget.find() == BUDGET
    budget.record(FakeLink('c2', Role.control, smaller))  # type: ignore[arg-type]
    assert budget.find() == StateBudget(10, 1_000_000)


def test_a_process_counts_that_said_hello_before_it_became_a_member() -> None:
    replica = FakeReplica()
    budget = GroupBudget(BUDGET, replica)  # type: ignore[arg-type]
    for name, memory_bytes in (('c1', 10), ('c2', 20), ('c3', 30)):
        own = StateBudget(memory_bytes, 2_000_000)
        budget.record(FakeLink(name, Role.control, own))  # type: ignore[arg-type]
    assert budget.find() == BUDGET
    replica.names = ('c2', 'c3')
    assert budget.find() == StateBudget(20, 1_000_000)
    replica.names = ('c1', 'c2', 'c3')
    assert budget.find() == StateBudget(10, 1_000_000)

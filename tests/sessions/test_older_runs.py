"""Test what becomes of a newer run when an older one is listed as ended."""

from tests.sessions.batch_fakes import BatchFleet, create_step
from tests.sessions.test_start_orders import TASK, choose_worker, find_starts
from wasabiturn.messages.kinds import JobState, RunEnding
from wasabiturn.standins.batch_worker import SimulatedWork

WORK_SECONDS = 7.0
LEASE_SECONDS = 6.4
ALL_MILLICORES = 4000


def list_run_after_it_was_given_up(
    fleet: BatchFleet, ending: RunEnding
) -> None:
    """Have run 1 end at a worker that is cut off, and run 2 begin."""
    fleet.run(1)
    choose_worker(fleet, 1)
    work = SimulatedWork(WORK_SECONDS, ending=ending)
    fleet.submit('a', [create_step(1, millicores=ALL_MILLICORES)], work)
    fleet.run(2)
    agent = fleet.agents[0]
    agent.is_partitioned = True
    choose_worker(fleet, 2)
    fleet.run(LEASE_SECONDS + 0.5)
    assert find_starts(fleet) == [(1, 'worker-1'), (2, 'worker-2')]
    agent.is_partitioned = False
    fleet.run(1)


def test_newer_run_is_stopped_and_keeps_its_room_until_it_has_ended() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(0.1)
    list_run_after_it_was_given_up(fleet, RunEnding.done)
    fleet.submit('b', [create_step(1, millicores=ALL_MILLICORES)])
    fleet.run_until('a', JobState.done, seconds=2)
    fleet.run_until('b', JobState.done, seconds=3)
    ends = [(run, end) for _, task, run, end in fleet.run_ends if task == TASK]
    assert ends == [(1, RunEnding.done), (2, RunEnding.stopped)]


def test_failure_that_is_listed_late_uses_up_an_attempt() -> None:
    fleet = BatchFleet(workers=2)
    list_run_after_it_was_given_up(fleet, RunEnding.failed)
    fleet.run_until('a', JobState.failed, seconds=WORK_SECONDS)
    assert len(find_starts(fleet)) == 2

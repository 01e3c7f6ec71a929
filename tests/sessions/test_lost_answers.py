"""Start orders that were carried out, but whose answers are lost."""

from tests.sessions.batch_fakes import BatchFleet, create_step
from wasabiturn.standins.batch_worker import Fault, SimulatedWork

JOBS = 6


def test_start_that_a_list_can_tell_of_is_not_ordered_twice() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(2)
    worker = fleet.agents[0].worker
    for number in range(JOBS):
        worker.next_faults = [Fault.answer_lost]
        # One running task has its hold wait for longer than an order.
        fleet.submit(f'j{number}', [create_step(1)], SimulatedWork(1.5))
        fleet.run(1.7)
    assert len(fleet.run_starts) == JOBS
    assert len(fleet.start_orders) == JOBS

"""Tests of starts that reach the closed port of a crashed worker."""

from collections import Counter

from tests.sessions.batch_fakes import BatchFleet, create_step
from wasabiturn.messages.kinds import JobState
from wasabiturn.process.agent.runs.channel import MAX_PARALLEL_ORDERS
from wasabiturn.standins.batch_worker import LATENCY_SECONDS, SimulatedWork

ORDER_SECONDS = 0.3
ANSWER_SECONDS = 0.6


def test_dead_worker_gets_no_second_round_of_starts() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    dead = fleet.agents[0].worker
    dead.crash()
    fleet.submit('a', [create_step(7, millicores=1000)], SimulatedWork(1))
    fleet.run(1)
    orders_by_task = Counter(
        sent.task
        for sent in fleet.start_orders
        if sent.worker == dead.identity.worker
    )
    assert orders_by_task.total() <= MAX_PARALLEL_ORDERS
    fleet.run_until('a', JobState.done, seconds=4)


def test_crash_under_a_hold_is_reported_at_once() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    fleet.submit('a', [create_step(1)], SimulatedWork(1))
    fleet.run(0.3)
    (worker,) = fleet.find_workers_by_task()['a.0.0.0']
    next(
        agent.worker
        for agent in fleet.agents
        if agent.worker.identity.worker == worker
    ).crash()
    fleet.run(0.1)
    (other,) = fleet.find_workers_by_task()['a.0.0.0']
    assert other != worker


def test_closed_port_of_an_ended_life_does_not_end_runs_of_the_next() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(2)
    for each in fleet.agents:
        each.worker.order_delay_seconds = ORDER_SECONDS
        each.worker.answer_delay_seconds = ANSWER_SECONDS
    fleet.submit('a', [create_step(1)], SimulatedWork(5))
    fleet.run(ORDER_SECONDS / 2)
    (order,) = fleet.start_orders
    agent = next(
        each
        for each in fleet.agents
        if each.worker.identity.worker == order.worker
    )
    agent.worker.crash()
    # The order finds the port closed; the agent hears of it in the next life.
    fleet.run(ORDER_SECONDS)
    for each in fleet.agents:
        each.worker.order_delay_seconds = LATENCY_SECONDS
        each.worker.answer_delay_seconds = 0
    agent.worker.start_incarnation()
    agent.announce()
    fleet.run(0.1)
    fleet.submit('b', [create_step(6)], SimulatedWork(5))
    fleet.run(0.2)
    assert agent.worker.runs_by_task
    fleet.run(2 * ANSWER_SECONDS)
    starts = [task for _, task, _, _ in fleet.run_starts if task[0] == 'b']
    assert len(starts) == len(set(starts))

"""Random sessions: workers crash together and return under their names."""

from random import Random

import attrs
import pytest

from tests.sessions.batch_fakes import FakeAgent
from tests.sessions.test_start_orders_properties import (
    SEEDS,
    VALUES,
    LateOrdersOutliveMachine,
)
from wasabiturn.process.agent.runs.port import WorkerIdentity

ROUNDS = 8
AWAY_SECONDS = (0.3, 0.55, 0.7, 0.9)
# Between starts of jobs, and after all are back.
SHORT_WAITS = (0.05, 0.1, 0.4, 1.0)
LONG_WAITS = (0.3, 1.2, 4.0, 9.0)
LEADERLESS_SECONDS = (0.2, 1.5)
ANSWER_DELAYS = (0.0, 0.0, 0.05, 0.3, 0.5)
CHANCE_OF_TROUBLE = 0.25


@attrs.define
class RestartSession:
    """One session; some agents stand still from the crash to the return."""

    machine: LateOrdersOutliveMachine
    random: Random

    def play(self) -> None:
        self.machine.register_workers()
        for _ in range(ROUNDS):
            self._submit_jobs()
            self._restart_workers()
        self.machine.teardown()

    def _submit_jobs(self) -> None:
        choose = self.random.choice
        for _ in range(self.random.randint(1, 2)):
            self.machine.submit(
                choose(VALUES['step_sizes']),
                lasting=False,
                work_seconds=choose(VALUES['work_seconds']),
                disturbance=choose(VALUES['disturbance']),
            )
            for agent in self.machine.fleet.agents:
                agent.worker.answer_delay_seconds = choose(ANSWER_DELAYS)
            self.machine.fleet.run(choose(SHORT_WAITS))

    def _restart_workers(self) -> None:
        fleet = self.machine.fleet
        is_cut = self._happens()
        fleet.agents[0].is_partitioned = is_cut
        hit = [agent for agent in fleet.agents if self.random.random() < 0.7]
        frozen = [agent for agent in hit if self._happens()]
        for agent in frozen:
            agent.pause()
        former = [agent.worker.identity for agent in hit]
        for agent in hit:
            if agent.worker.is_up:
                agent.worker.crash()
        if self._happens():
            fleet.change_leader(self.random.choice(LEADERLESS_SECONDS))
        fleet.run(self.random.choice(AWAY_SECONDS))
        for agent, identity in zip(hit, former, strict=True):
            self._start_again(agent, identity)
        fleet.run(self.random.choice(LONG_WAITS))
        for agent in frozen:
            agent.resume()
        fleet.agents[0].is_partitioned = False
        fleet.run(self.random.choice(LONG_WAITS))

    def _start_again(self, agent: FakeAgent, former: WorkerIdentity) -> None:
        agent.worker.start_incarnation(former.worker)
        if self._happens():
            return
        agent.announce()
        if self._happens():
            # An announcement of the ended life was under way for longer.
            late = attrs.evolve(former, sequence=former.sequence + 1)
            agent.gate.run(agent.reconciler.announce, late)

    def _happens(self) -> bool:
        return self.random.random() < CHANCE_OF_TROUBLE


@pytest.mark.parametrize('seed', SEEDS)
def test_workers_that_crash_together_and_return(seed: int) -> None:
    machine = LateOrdersOutliveMachine()
    RestartSession(machine=machine, random=Random(seed)).play()

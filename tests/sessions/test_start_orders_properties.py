"""Stateful tests of runs under faults of workers, agents and leaders.

``BatchFleet`` checks what must always hold. At the end all faults end, and
every job that was not cancelled must get done.
"""

import enum
import os
from collections.abc import Sequence
from random import Random
from typing import Any

import attrs
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests.sessions.batch_fakes import (
    ANNOUNCE_INTERVAL_SECONDS,
    BatchFleet,
    FakeAgent,
    create_step,
)
from wasabiturn.messages.kinds import JobState
from wasabiturn.standins.batch_worker import (
    LATENCY_SECONDS,
    Fault,
    SimulatedWork,
)

# WASABITURN_SEEDS=1000:200 selects 200 seeds from 1000 on.
FIRST_SEED, SEED_COUNT = map(
    int, os.environ.get('WASABITURN_SEEDS', '0:16').split(':')
)
SEEDS = range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
SEEDED_ACTIONS = 80
WORKERS = 2
# They leave room for each other on the workers, whatever happens.
MAX_JOBS = 8
MAX_LATE_SECONDS = 12.0
# Two leases of 6.4 s, then the longest work of all jobs: 8 times 4 tasks of
# 6 s, on 5 places or more beside the lasting tasks. A task stays bound to a
# name for 15 s after the faults end; all but 3 s of these have passed by then.
RECOVERY_SECONDS = 60.0
SLOW_ORDER_SECONDS = 0.5
# Passes after each action.
MOMENT_SECONDS = 0.1
NUMBERS = range(WORKERS)


@attrs.frozen
class Disturbance:
    """Faults of the next orders to a worker; late ones come then."""

    faults: tuple[Fault, ...]
    late_seconds: float


class Trouble(enum.Enum):
    slow_orders = 'orders take long'
    holds_refused = 'holds fail, or no longer'
    agent_restart = 'the agent restarts'
    agent_cut = 'the agent is cut from the leader, or no longer'
    crash = 'the worker crashes'
    same_name = 'the worker begins a new life under its name'
    other_name = 'the worker begins a new life under another name'
    former_name = 'the worker begins a new life under an earlier name'
    drain = 'the worker drains, or leaves if it does'


NEXT_LIVES = {Trouble.same_name, Trouble.other_name, Trouble.former_name}
# The values of each parameter of an action.
VALUES: dict[str, Sequence[Any]] = {
    'number': NUMBERS,
    'job': range(MAX_JOBS),
    'step_sizes': [(1,), (3,), (1, 1), (2, 2)],
    'lasting': [False, False, True],
    'work_seconds': [0.1, 1.0, 3.0, 6.0],
    'disturbance': [
        Disturbance(faults, late_seconds)
        for faults in (
            (Fault.late, Fault.refused),
            (Fault.late, *[Fault.dropped] * 4, Fault.refused),
            (Fault.late, Fault.late, Fault.refused, Fault.refused),
            (Fault.answer_lost, Fault.refused),
            (Fault.none, Fault.refused, Fault.refused),
            (Fault.dropped, Fault.refused),
            (Fault.refused,),
            (),
        )
        for late_seconds in (2.0, 5.0, 8.0, MAX_LATE_SECONDS)
    ],
    'trouble': list(Trouble),
    'next_trouble': list(Trouble),
    'wait_seconds': [0.1, 0.7, 2.0, 5.0],
    'leaderless_seconds': [0.2, 1.5, 4.0],
    'seconds': [0.1, 0.3, 0.8, 2.0, 7.0],
}
ACTIONS = {
    'submit': ('step_sizes', 'lasting', 'work_seconds', 'disturbance'),
    'trouble_submitted': (
        'disturbance',
        'wait_seconds',
        'trouble',
        'next_trouble',
    ),
    'cancel': ('job',),
    'disturb_orders': ('number', 'disturbance'),
    'trouble_worker': ('number', 'trouble'),
    'change_leader': ('leaderless_seconds',),
    'end_faults': (),
    'run': ('seconds',),
}


def strategies_of(action: str) -> dict[str, Any]:
    """Return a strategy for each parameter of an action."""
    return {name: st.sampled_from(VALUES[name]) for name in ACTIONS[action]}


class FleetMachine(RuleBasedStateMachine):
    keeps_late_orders = False

    def __init__(self) -> None:
        super().__init__()
        self.fleet = BatchFleet(workers=WORKERS)
        for agent in self.fleet.agents:
            agent.worker.keeps_late_orders = self.keeps_late_orders
        self.step_sizes_by_job: dict[str, tuple[int, ...]] = {}
        self.lasting_jobs: set[str] = set()
        self.cancelled_jobs: set[str] = set()
        self.names_by_agent = {
            agent.name: [agent.worker.identity.worker]
            for agent in self.fleet.agents
        }

    @initialize()
    def register_workers(self) -> None:
        self.fleet.run(1)

    @rule(**strategies_of('submit'))
    def submit(
        self,
        step_sizes: tuple[int, ...],
        lasting: bool,
        work_seconds: float,
        disturbance: Disturbance,
    ) -> None:
        number = len(self.step_sizes_by_job)
        if number == MAX_JOBS:
            return
        job = f'j{number}'
        if lasting:
            step_sizes = step_sizes[:1]
            self.lasting_jobs.add(job)
        self.step_sizes_by_job[job] = step_sizes
        steps = [
            create_step(
                size,
                after=[index - 1] if index else [],
                lasting=lasting,
                millicores=100 if lasting else 1000,
            )
            for index, size in enumerate(step_sizes)
        ]
        work = SimulatedWork(1000 if lasting else work_seconds)
        for index in NUMBERS:
            self.disturb_orders(index, disturbance)
        self.fleet.submit(job, steps, work)

    @rule(**strategies_of('trouble_submitted'))
    def trouble_submitted(
        self,
        disturbance: Disturbance,
        wait_seconds: float,
        trouble: Trouble,
        next_trouble: Trouble,
    ) -> None:
        """Trouble the worker, twice, that a new job's order was sent to."""
        self.end_faults()
        self.fleet.run(ANNOUNCE_INTERVAL_SECONDS)
        self.submit((1,), False, MAX_LATE_SECONDS, disturbance)
        self.fleet.run(MOMENT_SECONDS)
        for number in NUMBERS[1:]:
            self.agent(number).worker.next_faults.clear()
        for each in (trouble, next_trouble):
            self.fleet.run(wait_seconds)
            self.trouble_worker(0, each)
        self.fleet.run(disturbance.late_seconds)

    @rule(**strategies_of('cancel'))
    def cancel(self, job: int) -> None:
        job_id = f'j{job}'
        if job_id in self.step_sizes_by_job:
            self.cancelled_jobs.add(job_id)
            self.fleet.cancel(job_id)

    @rule(**strategies_of('disturb_orders'))
    def disturb_orders(self, number: int, disturbance: Disturbance) -> None:
        worker = self.agent(number).worker
        worker.next_faults = list(disturbance.faults)
        worker.late_delay_seconds = disturbance.late_seconds

    @rule(**strategies_of('trouble_worker'))
    def trouble_worker(self, number: int, trouble: Trouble) -> None:
        agent = self.agent(number)
        worker = agent.worker
        if trouble is Trouble.slow_orders:
            worker.order_delay_seconds = SLOW_ORDER_SECONDS
        elif trouble is Trouble.holds_refused:
            worker.refuses_holds = not worker.refuses_holds
        elif trouble is Trouble.agent_restart:
            agent.restart()
        elif trouble is Trouble.agent_cut:
            agent.is_partitioned = not agent.is_partitioned
        elif trouble in NEXT_LIVES:
            self._start_next_life(agent, trouble)
        elif worker.is_up:
            self._trouble_life(agent, trouble)

    @rule(**strategies_of('change_leader'))
    def change_leader(self, leaderless_seconds: float) -> None:
        self.fleet.change_leader(leaderless_seconds)

    @rule()
    def end_faults(self) -> None:
        for agent in self.fleet.agents:
            self._end_faults(agent)

    @rule(**strategies_of('run'))
    def run(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @invariant()
    def nothing_is_violated_for_a_moment(self) -> None:
        self.fleet.run(MOMENT_SECONDS)

    def teardown(self) -> None:
        if self.fleet.violations:
            return
        self.end_faults()
        # No order that was late is carried out after that.
        self.fleet.run(MAX_LATE_SECONDS)
        latest = self.fleet.clock.seconds() + RECOVERY_SECONDS
        while unfinished := self.find_unfinished_jobs():
            assert self.fleet.clock.seconds() < latest, unfinished
            self.fleet.run(0.5)

    def agent(self, number: int) -> FakeAgent:
        """Return an agent by number; 0 sent the newest start order."""
        sent = self.fleet.start_orders
        newest = sent[-1].worker if sent else ''
        agents = sorted(
            self.fleet.agents,
            key=lambda each: each.worker.identity.worker != newest,
        )
        return agents[number]

    def find_unfinished_jobs(self) -> dict[str, str]:
        """Return the state of each job that is neither done nor cancelled."""
        states = {
            job: self.fleet.read_state(job)
            for job in self.step_sizes_by_job.keys() - self.cancelled_jobs
        }
        return {
            job: state.name
            for job, state in states.items()
            if not self._is_finished(job, state)
        }

    def _is_finished(self, job: str, state: JobState) -> bool:
        if job not in self.lasting_jobs:
            return state is JobState.done
        running = self.fleet.find_workers_by_task().keys()
        (size,) = self.step_sizes_by_job[job]
        return {f'{job}.0.0.{index}' for index in range(size)} <= running

    def _trouble_life(self, agent: FakeAgent, trouble: Trouble) -> None:
        if trouble is Trouble.drain and not agent.worker.identity.is_draining:
            agent.announce_draining()
        else:
            agent.worker.crash()

    def _start_next_life(self, agent: FakeAgent, trouble: Trouble) -> None:
        names = self.names_by_agent[agent.name]
        if trouble is Trouble.other_name:
            names.append(f'{agent.name}-{self.fleet.clock.seconds()}')
        elif trouble is Trouble.former_name:
            names.append(self._former_name(agent))
        agent.worker.start_incarnation(names[-1])

    def _former_name(self, agent: FakeAgent) -> str:
        """Return the name, other than its last, that was ordered to start last.

        The name that the agent began with, if there was no such order.
        """
        names = self.names_by_agent[agent.name]
        return next(
            (
                order.worker
                for order in reversed(self.fleet.start_orders)
                if order.worker in names[:-1] and order.worker != names[-1]
            ),
            names[0],
        )

    def _end_faults(self, agent: FakeAgent) -> None:
        worker = agent.worker
        agent.is_partitioned = False
        worker.next_faults.clear()
        worker.refuses_holds = False
        worker.order_delay_seconds = LATENCY_SECONDS
        if not worker.is_up or worker.identity.is_draining:
            self._start_next_life(agent, Trouble.other_name)


class LateOrdersOutliveMachine(FleetMachine):
    """Late orders also reach the next life of a worker, under its name."""

    keeps_late_orders = True


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('machine', [FleetMachine, LateOrdersOutliveMachine])
def test_random_actions(machine: type[FleetMachine], seed: int) -> None:
    random = Random(seed)
    fleet_machine = machine()
    fleet_machine.register_workers()
    for _ in range(SEEDED_ACTIONS):
        # Jobs and time come as often as all faults together.
        others = [name for name in ACTIONS if name not in {'submit', 'run'}]
        actions = [*others, *['submit', 'run', 'run'] * (len(others) // 2)]
        action = random.choice(actions)
        drawn = {name: random.choice(VALUES[name]) for name in ACTIONS[action]}
        getattr(fleet_machine, action)(**drawn)
        fleet_machine.nothing_is_violated_for_a_moment()
    fleet_machine.teardown()


_SETTINGS = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestFleet = FleetMachine.TestCase
TestFleet.settings = _SETTINGS
TestLateOrdersOutlive = LateOrdersOutliveMachine.TestCase
TestLateOrdersOutlive.settings = settings(_SETTINGS, max_examples=40)

"""Random changes of workers' capacity beside all other trouble.

``BatchFleet`` checks what must always hold. At the end all workers have their
full capacity again, and every job that was not cancelled must get done.
"""

from random import Random

import pytest

from tests.sessions.batch_fakes import ANNOUNCE_INTERVAL_SECONDS, create_step
from tests.sessions.test_start_orders_properties import (
    ACTIONS,
    MOMENT_SECONDS,
    NUMBERS,
    SEEDED_ACTIONS,
    SEEDS,
    VALUES,
    Disturbance,
    FleetMachine,
    Trouble,
)
from wasabiturn.messages.kinds import JobState
from wasabiturn.standins.batch_worker import SimulatedWork

# On workers of full capacity they get done within the time of the others.
MAX_SIZED_JOBS = 16
FULL_CAPACITY = {'millicores': 4000, 'memory_mb': 4000, 'accelerators': 2}
# Some have no room for some tasks, and some for none.
CAPACITY_VALUES = {
    'number': NUMBERS,
    'millicores': [0, 500, 1000, 2000, 4000],
    'memory_mb': [0, 150, 1000, 4000, 4000],
    'accelerators': [0, 1, 2, 2],
    'is_announced_at_once': [False, True],
    'task_count': [1, 4, 8],
    'task_millicores': [100, 500, 1000],
    'task_memory_mb': [10, 100, 900],
    'task_accelerators': [0, 0, 1],
    'fills': [False, True],
    'task_seconds': [0.1, 1.0, 3.0],
    'order_seconds': [0.001, 0.5, 1.2],
    'is_cut': [False, True],
}
CAPACITY_ACTIONS = {
    'change_capacity': (
        'number',
        'millicores',
        'memory_mb',
        'accelerators',
        'is_announced_at_once',
    ),
    'pause_or_resume': ('number',),
    'submit_sized': (
        'task_count',
        'task_millicores',
        'task_memory_mb',
        'task_accelerators',
        'fills',
        'task_seconds',
    ),
    'shrink_under_orders': (
        'millicores',
        'disturbance',
        'order_seconds',
        'is_cut',
        'trouble',
    ),
}


class CapacityMachine(FleetMachine):
    """Workers shrink and grow, agents halt, and tasks have many sizes."""

    def __init__(self) -> None:
        super().__init__()
        self.restore_capacities()
        self.paused_numbers: set[int] = set()
        self.sized_jobs: list[str] = []

    def change_capacity(
        self,
        number: int,
        millicores: int,
        memory_mb: int,
        accelerators: int,
        is_announced_at_once: bool,
    ) -> None:
        agent = self.fleet.agents[number]
        agent.worker.change_capacity(
            millicores=millicores,
            memory_mb=memory_mb,
            accelerators=accelerators,
        )
        if is_announced_at_once:
            agent.announce()

    def pause_or_resume(self, number: int) -> None:
        self.paused_numbers ^= {number}
        if number in self.paused_numbers:
            self.fleet.agents[number].pause()
        else:
            self.fleet.agents[number].resume()

    def submit_sized(
        self,
        task_count: int,
        task_millicores: int,
        task_memory_mb: int,
        task_accelerators: int,
        fills: bool,
        task_seconds: float,
    ) -> None:
        if len(self.sized_jobs) == MAX_SIZED_JOBS:
            return
        job = f's{len(self.sized_jobs)}'
        self.sized_jobs.append(job)
        step = create_step(
            task_count,
            millicores=task_millicores,
            memory_mb=task_memory_mb,
            accelerators=task_accelerators,
            fills=fills,
            image='f' if fills else '',
        )
        self.fleet.submit(job, [step], SimulatedWork(task_seconds))

    def shrink_under_orders(
        self,
        millicores: int,
        disturbance: Disturbance,
        order_seconds: float,
        is_cut: bool,
        trouble: Trouble,
    ) -> None:
        """Shrink the worker that a new job is sent to, amid its orders."""
        self.end_faults()
        self.restore_capacities()
        self.fleet.run(ANNOUNCE_INTERVAL_SECONDS)
        for number in NUMBERS:
            self.disturb_orders(number, disturbance)
            self.agent(number).worker.order_delay_seconds = order_seconds
        self.submit_sized(
            task_count=36,
            task_millicores=200,
            task_memory_mb=50,
            task_accelerators=0,
            fills=False,
            task_seconds=3.0,
        )
        self.fleet.run(MOMENT_SECONDS)
        agent = self.agent(0)
        agent.is_partitioned = is_cut
        agent.worker.change_capacity(millicores=millicores)
        self.fleet.run(ANNOUNCE_INTERVAL_SECONDS)
        self.trouble_worker(0, trouble)
        self.fleet.run(disturbance.late_seconds)

    def find_unfinished_jobs(self) -> dict[str, str]:
        """Return the state of each job that is neither done nor cancelled."""
        states = {job: self.fleet.read_state(job) for job in self.sized_jobs}
        return super().find_unfinished_jobs() | {
            job: state.name
            for job, state in states.items()
            if state is not JobState.done
        }

    def restore_capacities(self) -> None:
        for agent in self.fleet.agents:
            agent.worker.change_capacity(**FULL_CAPACITY)

    def teardown(self) -> None:
        self.restore_capacities()
        for number in list(self.paused_numbers):
            self.pause_or_resume(number)
        super().teardown()


class LateOrdersOutliveCapacityMachine(CapacityMachine):
    """Late orders also reach the next life of a worker, under its name."""

    keeps_late_orders = True


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    'machine', [CapacityMachine, LateOrdersOutliveCapacityMachine]
)
def test_random_changes_of_capacity(
    machine: type[CapacityMachine], seed: int
) -> None:
    random = Random(seed)
    values = VALUES | CAPACITY_VALUES
    parameters = ACTIONS | CAPACITY_ACTIONS
    # Changes of the capacity and time come as often as all the rest.
    rest = [name for name in parameters if name != 'run']
    often = ['change_capacity', 'run', 'shrink_under_orders']
    actions = [*rest, *often * (len(rest) // 2)]
    fleet_machine = machine()
    fleet_machine.register_workers()
    for _ in range(SEEDED_ACTIONS):
        action = random.choice(actions)
        drawn = {
            name: random.choice(values[name]) for name in parameters[action]
        }
        getattr(fleet_machine, action)(**drawn)
        fleet_machine.nothing_is_violated_for_a_moment()
    fleet_machine.teardown()

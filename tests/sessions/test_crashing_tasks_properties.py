"""Stateful tests of tasks that crash workers, beside all other faults.

``BatchFleet`` checks that none is started on and on, and that a job only fails
if one of its tasks has failed or two workers crashed under it. At the end all
faults end; then each job with such a task must fail, and the others get done.
"""

from random import Random
from typing import Any

import pytest

from tests.sessions.batch_fakes import create_step
from tests.sessions.test_start_orders_properties import (
    ACTIONS,
    MAX_JOBS,
    NUMBERS,
    SEEDS,
    VALUES,
    Disturbance,
    FleetMachine,
)
from wasabiturn.messages.kinds import JobState
from wasabiturn.standins.batch_worker import SimulatedWork

SEEDED_ACTIONS = 60
MAX_CRASHING_JOBS = 3
CRASHING_VALUES: dict[str, Any] = VALUES | {
    'crash_after_seconds': [0.0, 0.01, 0.01, 0.01, 0.2],
    'keeps_names': [False, True],
}
CRASHING_ACTIONS = ACTIONS | {
    'submit_crashing': ('crash_after_seconds', 'disturbance', 'keeps_names'),
}


class CrashingFleetMachine(FleetMachine):
    """Fleet with some jobs of which one task crashes each worker."""

    def __init__(self) -> None:
        super().__init__()
        self.crashing_jobs: set[str] = set()

    def submit_crashing(
        self,
        crash_after_seconds: float,
        disturbance: Disturbance,
        keeps_names: bool,
    ) -> None:
        number = len(self.crashing_jobs)
        if number == MAX_CRASHING_JOBS:
            return
        job = f'x{number}'
        self.crashing_jobs.add(job)
        self.fleet.keeps_names = keeps_names
        self.fleet.work_by_task[f'{job}.0.0.1'] = SimulatedWork(
            1000, crash_after_seconds=crash_after_seconds
        )
        for index in NUMBERS:
            self.disturb_orders(index, disturbance)
        self.fleet.submit(job, [create_step(3, millicores=300)])

    def find_unfinished_jobs(self) -> dict[str, str]:
        unfinished = super().find_unfinished_jobs()
        # The fleet checks that these had cause to fail.
        found = {
            job: state
            for job, state in unfinished.items()
            if state != JobState.failed.name
        }
        for job in self.crashing_jobs:
            state = self.fleet.read_state(job)
            if state is not JobState.failed:
                found[job] = state.name
        return found


@pytest.mark.parametrize('seed', SEEDS)
def test_random_actions_beside_crashing_tasks(seed: int) -> None:
    random = Random(seed)
    machine = CrashingFleetMachine()
    machine.register_workers()
    others = [
        name for name in CRASHING_ACTIONS if name not in {'submit', 'run'}
    ]
    actions = [*others, *['submit', 'run', 'run'] * (len(others) // 2)]
    for _ in range(SEEDED_ACTIONS):
        action = random.choice(actions)
        drawn = {
            name: random.choice(CRASHING_VALUES[name])
            for name in CRASHING_ACTIONS[action]
        }
        getattr(machine, action)(**drawn)
        machine.nothing_is_violated_for_a_moment()
    machine.teardown()
    assert len(machine.step_sizes_by_job) <= MAX_JOBS

"""Random sessions by the rule of a day's end, with ordinary jobs among them.

After all disruptions and submissions, and 14 s more, no job with room beside it
has had nothing running for 3 s.
"""

import attrs
import pytest

from tests.sessions.batch_fakes import COMMIT_LATENCY_SECONDS, FakeAgent
from tests.sessions.capacity_checks import capacity_of, size_of
from tests.sessions.test_lasting_tasks_wide_properties import (
    FAULT_PROBABILITY,
    Condition,
    WideSession,
)
from tests.sessions.test_start_orders_properties import FIRST_SEED, SEED_COUNT
from wasabiturn.batch.state.jobs import Job, Task
from wasabiturn.messages.kinds import BatchTaskState

# Each condition plays this share of the seeds.
SEEDS = range(FIRST_SEED, FIRST_SEED + max(SEED_COUNT // 8, 1))
CONDITIONS = (
    Condition.plain,
    Condition.suspects,
    Condition.unanswered,
    Condition.racks,
)
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
STEP_SECONDS = 0.25
ORDINARY_TASKS = 8
ORDINARY_SECONDS = (0.5, 2.0, 6.0)
# Sessions in which a task waited for an order that never reached its agent, or
# for one whose answer the leader had not been told.
REGRESSIONS = (
    (Condition.plain, 1001),
    (Condition.plain, 1007),
    (Condition.racks, 1001),
    (Condition.suspects, 2004),
    (Condition.plain, 2022),
)


class EndSession(WideSession):
    """Session whose ordinary jobs are looked at when it ends."""

    def __init__(self, seed: int, condition: Condition) -> None:
        super().__init__(seed, condition)
        self.actions += [self.submit_ordinary] * 2

    def submit_ordinary(self, agent: FakeAgent) -> None:
        self._submit(ORDINARY_TASKS, self.random.choice(ORDINARY_SECONDS))

    def play(self) -> None:
        if self.condition is Condition.unanswered:
            self.fleet.fault_probability = FAULT_PROBABILITY
        self.play_actions()
        self.fleet.fault_probability = 0
        self.fleet.replica.commit_seconds = COMMIT_LATENCY_SECONDS
        self.run(FINISH_SECONDS - IDLE_SECONDS)

    def find_kept_idle(self) -> set[str]:
        """Return the jobs that have nothing running for the last seconds."""
        kept = self.find_idle_jobs()
        for _ in range(round(IDLE_SECONDS / STEP_SECONDS)):
            if kept:
                self.run(STEP_SECONDS)
                kept &= self.find_idle_jobs()
        return kept

    def find_idle_jobs(self) -> set[str]:
        """Return the jobs with due tasks, room for each, and no run."""
        running = {
            name.split('.')[0]
            for agent in self.fleet.agents
            if agent.worker.is_up
            for name in agent.worker.runs_by_task
        }
        jobs = self.fleet.replica.state.batch.open_jobs_by_id.values()
        return {
            job.job_id
            for job in jobs
            if job.job_id not in running and self._is_kept_waiting(job)
        }

    def _is_kept_waiting(self, job: Job) -> bool:
        due = [
            task
            for part in job.parts_by_key.values()
            if part.is_ready()
            for task in part.open_tasks()
            if task.state in {BatchTaskState.waiting, BatchTaskState.active}
        ]
        return bool(due) and all(map(self._has_room_in_half, due))

    def _has_room_in_half(self, task: Task) -> bool:
        """Return whether two of a task fit, with half of the CPU left."""
        sound = [each for each in self.fleet.agents if self._is_sound(each)]
        size = sum(each.worker.identity.millicores for each in sound)
        in_use = sum(
            step.millicores for each in sound for step in self._steps_at(each)
        )
        has_half = in_use + 2 * task.step.millicores <= size / 2
        return has_half and any(self._takes_two(each, task) for each in sound)

    def _is_sound(self, agent: FakeAgent) -> bool:
        is_out = agent.worker.identity.data_centre in self.out
        is_lost = agent.name in self.lost_at
        return agent.worker.is_up and not is_lost and not is_out

    def _takes_two(self, agent: FakeAgent, task: Task) -> bool:
        identity = agent.worker.identity
        label = task.step.required_label
        if task.job.accepted.terms.service_name != identity.service_name:
            return False
        if label and label not in identity.labels:
            return False
        used = size_of(task.step) + size_of(task.step)
        for each in self._steps_at(agent):
            used += size_of(each)
        left = attrs.asdict(capacity_of(identity))
        return all(
            amount <= left[name] for name, amount in attrs.asdict(used).items()
        )


@pytest.mark.parametrize(
    ('condition', 'seed'),
    [*((each, seed) for each in CONDITIONS for seed in SEEDS), *REGRESSIONS],
)
def test_no_job_has_nothing_running_beside_room(
    condition: Condition, seed: int
) -> None:
    session = EndSession(seed, condition)
    session.play()
    assert session.find_kept_idle() == set()

"""Random sessions of crashes by chance, beside tasks that crash workers.

``Session.count`` tells the two errors of the verdicts: sound jobs that failed,
and starts of a deadly task beyond those that callers expect.
"""

from random import Random
from typing import final

import attrs

from tests.sessions.batch_fakes import (
    MAX_STARTS_AFTER_CRASHES,
    BatchFleet,
    FakeAgent,
    create_step,
)
from wasabiturn.messages.kinds import JobState
from wasabiturn.standins.batch_worker import SimulatedWork

WORKERS = 8
DATA_CENTRES = 3
SECONDS = 12.0
# All faults have ended by then; what is left gets done.
CALM_SECONDS = 60.0
STEP_SECONDS = 0.01
JOBS_PER_SECOND = 3.0
TASKS = (1, 2, 4, 6)
WORK_SECONDS = (1.0, 1.0, 4.0)
# A second blow follows this share of the first ones, so long after.
ECHO_SHARE = 0.5
ECHO_SECONDS = (0.03, 0.1, 0.45, 0.5, 0.55, 0.9)
AWAY_SECONDS = (0.3, 1.0, 3.0)
CRASH_SECONDS = (0.0, 0.01, 0.2, 0.4)


@final
@attrs.frozen
class Errors:
    """What went wrong in a session, and what its deadly tasks cost."""

    sound_failed: tuple[str, ...]
    sound_unfinished: tuple[str, ...]
    deadly_unfinished: tuple[str, ...]
    excess_starts: int
    crashes_caused: int


@final
class Session:
    """Fleet whose workers crash by chance, ``blows_per_second`` on average."""

    def __init__(
        self, seed: int, blows_per_second: float = 0.0, deadly_jobs: int = 0
    ) -> None:
        """Create a session that has not begun."""
        self._random = Random(seed)
        self._blows_per_second = blows_per_second
        self._echoes: list[float] = []
        self.fleet = BatchFleet(workers=WORKERS, seed=seed)
        self.sound_jobs: list[str] = []
        self.deadly_jobs = [f'x{number}' for number in range(deadly_jobs)]
        for number, agent in enumerate(self.fleet.agents):
            agent.worker.identity = attrs.evolve(
                agent.worker.identity,
                data_centre=f'dc-{number % DATA_CENTRES}',
            )
        self.fleet.run(2)

    def play(self) -> None:
        """Play the faults, then wait until calm has come."""
        clock = self.fleet.clock
        end = clock.seconds() + SECONDS
        deadly_at = {
            job: clock.seconds() + self._random.uniform(0, SECONDS / 2)
            for job in self.deadly_jobs
        }
        while clock.seconds() < end:
            for job, at in list(deadly_at.items()):
                if at <= clock.seconds():
                    del deadly_at[job]
                    self._submit_deadly(job)
            if self._draws(JOBS_PER_SECOND):
                self._submit_sound()
            self._strike_by_chance()
            self._run(STEP_SECONDS)
        latest = clock.seconds() + CALM_SECONDS
        while self._unfinished() and clock.seconds() < latest:
            self._run(0.5)

    def count(self) -> Errors:
        """Return what went wrong so far."""
        read = self.fleet.read_state
        failed = JobState.failed
        return Errors(
            sound_failed=tuple(
                job for job in self.sound_jobs if read(job) is failed
            ),
            sound_unfinished=tuple(
                job
                for job in self.sound_jobs
                if read(job) not in {failed, JobState.done}
            ),
            deadly_unfinished=tuple(
                job for job in self.deadly_jobs if read(job) is not failed
            ),
            excess_starts=sum(
                max(starts - MAX_STARTS_AFTER_CRASHES, 0)
                for starts in self.fleet.starts_after_crashes.values()
            ),
            crashes_caused=sum(self.fleet.caused_crashes.values()),
        )

    def _run(self, seconds: float) -> None:
        """Advance the clock; ``count`` tells of the errors of verdicts."""
        try:
            self.fleet.run(seconds)
        except AssertionError:
            if not all(_is_counted(each) for each in self.fleet.violations):
                raise
            self.fleet.violations.clear()

    def _draws(self, per_second: float) -> bool:
        return self._random.random() < per_second * STEP_SECONDS

    def _submit_sound(self) -> None:
        job = f's{len(self.sound_jobs)}'
        self.sound_jobs.append(job)
        step = create_step(
            self._random.choice(TASKS), millicores=300, memory_mb=60
        )
        work = SimulatedWork(self._random.choice(WORK_SECONDS))
        self.fleet.submit(job, [step], work)

    def _submit_deadly(self, job: str) -> None:
        work = SimulatedWork(
            1000, crash_after_seconds=self._random.choice(CRASH_SECONDS)
        )
        self.fleet.work_by_task[f'{job}.0.0.1'] = work
        step = create_step(3, millicores=300, memory_mb=60)
        self.fleet.submit(job, [step], SimulatedWork(2))

    def _strike_by_chance(self) -> None:
        now = self.fleet.clock.seconds()
        if self._draws(self._blows_per_second):
            self._strike()
            delay = self._random.choice(ECHO_SECONDS)
            if self._random.random() < ECHO_SHARE:
                self._echoes.append(now + delay)
        while self._echoes and min(self._echoes) <= now:
            self._echoes.remove(min(self._echoes))
            self._strike()

    def _strike(self) -> None:
        """Crash one or two workers, but never more than half of them."""
        up = [each for each in self.fleet.agents if each.worker.is_up]
        hits = min(len(up) // 2, self._random.choice([1, 1, 2]))
        for agent in self._random.sample(up, hits):
            agent.worker.crash()
            away = self._random.choice(AWAY_SECONDS)
            self.fleet.clock.callLater(away, self._bring_back, agent)

    def _bring_back(self, agent: FakeAgent) -> None:
        if not agent.worker.is_up:
            name = f'{agent.name}-by-{self.fleet.clock.seconds():.2f}'
            agent.worker.start_incarnation(name)
            agent.announce()

    def _unfinished(self) -> bool:
        final_states = {JobState.failed, JobState.done}
        return any(
            self.fleet.read_state(job) not in final_states
            for job in [*self.sound_jobs, *self.deadly_jobs]
        )


def _is_counted(violation: str) -> bool:
    return 'after its crashes' in violation or 'without cause' in violation

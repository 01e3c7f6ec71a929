"""Sessions in which most workers crash again and again, and then calm.

Eight of eleven workers are taken out. Of the three others, two crash at a time
each 1.4 s, and are back 0.7 s later. ``find_idle_jobs`` tells which jobs ran
nothing in the calm beside free workers.
"""

from collections import defaultdict
from random import Random
from typing import final

import attrs

from tests.sessions.batch_fakes import (
    CLOCK_STEP_SECONDS,
    MAX_STARTS_AFTER_CRASHES,
    BatchFleet,
    create_step,
)
from wasabiturn.messages.batch import BatchChange, DataCentreMark
from wasabiturn.messages.kinds import JobState
from wasabiturn.standins.batch_worker import SimulatedWork

WORKERS = 11
USED_DATA_CENTRE = 'dc-c'
DATA_CENTRES = (*['dc-a'] * 4, *['dc-b'] * 4, *[USED_DATA_CENTRE] * 3)
CRASH_INTERVAL_SECONDS = 1.4
CRASHING_WORKERS = 2
AWAY_SECONDS = 0.7
# The workers that were taken out are back so long before the calm.
TAKEN_BACK_SECONDS = 4.2
# The traffic goes on for so long after the last crash.
TRAFFIC_IN_CALM_SECONDS = 3.0
JOBS_PER_SECOND = 2.0
TASKS = (1, 1, 2, 6)
WORK_SECONDS = (1.0, 2.0, 4.0)
LASTING_JOBS = 3
CHECK_SECONDS = 0.1
# Lasting tasks may wait for longer than jobs, counted from the calm's begin.
MAX_IDLE_SECONDS = 3.0
MAX_LASTING_IDLE_SECONDS = 7.0
_MILLICORES = 300
_MEMORY_MB = 60


@final
@attrs.define
class WaitingSession:
    """Fleet whose workers crash for ``crashing_seconds``, beside traffic."""

    seed: int
    crashing_seconds: float = 30.0
    calm_seconds: float = 25.0
    deadly_jobs: int = 0
    fleet: BatchFleet = attrs.field(init=False)
    jobs: list[str] = attrs.field(factory=list)
    # For how long each job or lasting task had run nothing, at most.
    idle_by_name: dict[str, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )
    _random: Random = attrs.field(init=False)
    _idle_since: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Take the workers of two data centres out."""
        self._random = Random(self.seed)
        self.fleet = BatchFleet(workers=WORKERS, seed=self.seed)
        for agent, name in zip(self.fleet.agents, DATA_CENTRES, strict=True):
            agent.worker.identity = attrs.evolve(
                agent.worker.identity, data_centre=name
            )
            # The leader reads the data centre of each incarnation once.
            agent.worker.start_incarnation(f'{agent.name}-at-first')
        self.fleet.run(2)
        self._mark(is_out=True)

    def play(self) -> None:
        """Crash workers beside traffic, then watch the calm."""
        clock = self.fleet.clock
        for number in range(LASTING_JOBS):
            self._submit(f'l{number}', lasting=True)
        for number in range(self.deadly_jobs):
            self._submit_deadly(f'x{number}')
        calm_at = clock.seconds() + self.crashing_seconds
        next_crash_at = clock.seconds() + CRASH_INTERVAL_SECONDS
        is_out = True
        while clock.seconds() < calm_at:
            if is_out and clock.seconds() >= calm_at - TAKEN_BACK_SECONDS:
                is_out = False
                self._mark(is_out=False)
            last_crash_at = calm_at - AWAY_SECONDS
            if next_crash_at <= min(clock.seconds(), last_crash_at):
                next_crash_at += CRASH_INTERVAL_SECONDS
                self._crash_two()
            self._submit_some()
            self._run(CLOCK_STEP_SECONDS * 5)
        while clock.seconds() < calm_at + self.calm_seconds:
            if clock.seconds() < calm_at + TRAFFIC_IN_CALM_SECONDS:
                self._submit_some()
            self._run(CHECK_SECONDS)
            self._watch()

    def find_idle_jobs(self) -> dict[str, float]:
        """Return what ran nothing in the calm for too long."""
        return {
            name: round(seconds, 1)
            for name, seconds in self.idle_by_name.items()
            if seconds > _max_idle(name)
        }

    def find_failed_jobs(self) -> list[str]:
        """Return the sound jobs that were given up."""
        jobs = self.fleet.replica.state.batch.jobs_by_id
        return [
            name for name in self.jobs if jobs[name].state is JobState.failed
        ]

    def find_unfinished_deadly_jobs(self) -> list[str]:
        """Return the jobs that crash workers and were not given up."""
        return [
            job
            for job in (f'x{number}' for number in range(self.deadly_jobs))
            if self.fleet.read_state(job) is not JobState.failed
        ]

    def count_excess_starts(self) -> int:
        """Return the starts of tasks that have crashed too many workers."""
        return sum(
            max(starts - MAX_STARTS_AFTER_CRASHES, 0)
            for starts in self.fleet.starts_after_crashes.values()
        )

    def _run(self, seconds: float) -> None:
        """Advance the clock; the ``find`` methods tell of wrong verdicts."""
        try:
            self.fleet.run(seconds)
        except AssertionError:
            if not all(map(is_counted, self.fleet.violations)):
                raise
            self.fleet.violations.clear()

    def _mark(self, is_out: bool) -> None:
        marks = [
            DataCentreMark(data_centre=name, out=is_out)
            for name in sorted({*DATA_CENTRES} - {USED_DATA_CENTRE})
        ]
        self.fleet.mark_data_centres(BatchChange(marks=marks))

    def _crash_two(self) -> None:
        used = [
            agent
            for agent in self.fleet.agents
            if agent.worker.identity.data_centre == USED_DATA_CENTRE
            and agent.worker.is_up
        ]
        hits = min(CRASHING_WORKERS, len(used))
        for agent in self._random.sample(used, hits):
            agent.worker.crash()
            name = f'{agent.name}-by-{self.fleet.clock.seconds():.2f}'
            self.fleet.clock.callLater(
                AWAY_SECONDS, agent.worker.start_incarnation, name
            )
            self.fleet.clock.callLater(AWAY_SECONDS + 0.01, agent.announce)

    def _submit_some(self) -> None:
        if self._random.random() < JOBS_PER_SECOND * CLOCK_STEP_SECONDS * 5:
            self._submit(f's{len(self.jobs)}')

    def _submit(self, job: str, *, lasting: bool = False) -> None:
        self.jobs.append(job)
        step = create_step(
            self._random.choice(TASKS),
            millicores=_MILLICORES,
            memory_mb=_MEMORY_MB,
            lasting=lasting,
        )
        seconds = 1000 if lasting else self._random.choice(WORK_SECONDS)
        self.fleet.submit(job, [step], SimulatedWork(seconds))

    def _submit_deadly(self, job: str) -> None:
        self.fleet.work_by_task[f'{job}.0.0.1'] = SimulatedWork(
            1000, crash_after_seconds=self._random.choice((0.0, 0.01, 0.2, 0.4))
        )
        step = create_step(3, millicores=_MILLICORES, memory_mb=_MEMORY_MB)
        self.fleet.submit(job, [step], SimulatedWork(2))

    def _watch(self) -> None:
        now = self.fleet.clock.seconds()
        waiting = set(self._list_waiting()) if self._has_room() else set()
        self._idle_since = {
            name: self._idle_since.get(name, now) for name in waiting
        }
        for name, since in self._idle_since.items():
            seconds = max(self.idle_by_name[name], now - since)
            self.idle_by_name[name] = seconds

    def _list_waiting(self) -> list[str]:
        """Return the jobs, and the lasting tasks, of which nothing runs."""
        running = self.fleet.find_workers_by_task()
        busy = {task.partition('.')[0] for task in running}
        jobs = self.fleet.replica.state.batch.jobs_by_id
        idle = [
            name
            for name in self.jobs
            if not jobs[name].is_final and name not in busy
        ]
        lasting = [
            task
            for job in self.jobs
            if job.startswith('l') and not jobs[job].is_final
            for task in self._tasks_of(job)
            if task not in running
        ]
        return [*(job for job in idle if not job.startswith('l')), *lasting]

    def _tasks_of(self, job: str) -> list[str]:
        tasks = self.fleet.replica.state.batch.tasks_by_name
        return [name for name in tasks if name.startswith(f'{job}.')]

    def _has_room(self) -> bool:
        """Return whether under half is used, with room for a job twice."""
        up = [each.worker for each in self.fleet.agents if each.worker.is_up]
        used = sum(len(each.runs_by_task) for each in up) * _MILLICORES
        room = sum(each.identity.millicores for each in up)
        return used < room / 2 and room - used >= 4 * max(TASKS) * _MILLICORES


def is_counted(violation: str) -> bool:
    """Return whether a session counts what its fleet found wrong."""
    return 'after its crashes' in violation or 'without cause' in violation


def _max_idle(name: str) -> float:
    is_lasting = name.startswith('l')
    return MAX_LASTING_IDLE_SECONDS if is_lasting else MAX_IDLE_SECONDS

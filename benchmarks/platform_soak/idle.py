"""Watch for jobs that nothing runs of, though there is room for their tasks."""

from typing import final

import attrs

from benchmarks.platform_soak.callers import MILLICORES, Job
from benchmarks.platform_soak.journal import BEGIN, STARVED, Journal
from benchmarks.platform_soak.workers import MILLICORES as WORKER_MILLICORES
from benchmarks.platform_soak.workers import Worker

# Idle jobs count from so long after the last fault.
CALM_SECONDS = 4.0
# A task may wait beside room for so long.
MAX_IDLE_SECONDS = 3.0


@final
@attrs.define(eq=False)
class IdleWatch:
    """Find jobs that are idle for too long once the fleet is calm."""

    journal: Journal
    workers: list[Worker]
    idle_since_by_job: dict[str, float] = attrs.field(factory=dict)
    longest_seconds: float = 0
    # Job, and from when to when it was idle.
    spells: dict[tuple[str, float], float] = attrs.field(factory=dict)
    _done: set[str] = attrs.field(factory=set)
    _read_events: int = 0

    def look(self, jobs: list[Job]) -> None:
        """Look at all open jobs; call this several times a second."""
        now = self.journal.now()
        self._read_ends()
        running = self._list_running()
        has_room = self._has_room_twice(len(running))
        idle = {
            job.job_id
            for job in jobs
            if has_room and self._is_idle(job, running)
        }
        for job_id in set(self.idle_since_by_job) - idle:
            self.idle_since_by_job.pop(job_id)
        for job_id in idle:
            since = self.idle_since_by_job.setdefault(job_id, now)
            self.longest_seconds = max(self.longest_seconds, now - since)
            self.spells[job_id, since] = now

    def find_violations(self) -> list[str]:
        """Return the jobs that were idle for too long, and from when on.

        As at the end of the faults, jobs may be idle until ``CALM_SECONDS``
        after the machine held a program up.
        """
        starved = [
            (fault.at, fault.at + fault.seconds + CALM_SECONDS)
            for fault in self.journal.faults
            if fault.kind == STARVED
        ]
        return [
            f'{job_id} from {since:.1f} to {until:.1f}'
            for (job_id, since), until in self.spells.items()
            if _measure_calm(since, until, starved) > MAX_IDLE_SECONDS
        ]

    def _read_ends(self) -> None:
        for event in self.journal.runs[self._read_events :]:
            if event.what != BEGIN and event.ending == 'done':
                self._done.add(event.task)
        self._read_events = len(self.journal.runs)

    def _list_running(self) -> set[str]:
        return {
            task
            for worker in self.workers
            if worker.is_up
            for task in worker.standin.runs_by_task
        }

    def _has_room_twice(self, running: int) -> bool:
        up = sum(worker.is_up for worker in self.workers)
        used = running * MILLICORES
        return used < up * WORKER_MILLICORES / 2

    def _is_idle(self, job: Job, running: set[str]) -> bool:
        tasks = set(job.tasks())
        return bool(tasks - self._done) and not tasks & running


def _measure_calm(
    since: float, until: float, starved: list[tuple[float, float]]
) -> float:
    """Return the longest part of a spell in which nothing was held up."""
    longest = 0.0
    for begins_at, ends_at in sorted(starved):
        longest = max(longest, min(begins_at, until) - since)
        since = max(since, ends_at)
    return max(longest, until - since)

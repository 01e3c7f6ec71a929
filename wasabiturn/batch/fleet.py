"""What the leader believes of the workers, and from when.

A worker is known once it has listed its runs under this leader's fence: from
then on no order of an earlier leader can take effect there. Until then its
runs are charged as the book has them.
"""

from collections import deque
from typing import final

import attrs

from wasabiturn.batch.jobs import Job, Task
from wasabiturn.messages.batch import (
    BatchChange,
    RunningRow,
    WorkerReport,
)

NEVER = float('-inf')
# Share of its declared processors that a lasting task is expected to use.
LASTING_USE = 0.55
# Idle jobs remembered; those that end while idle are not told apart.
MAX_IDLE_JOBS = 10_000


@final
@attrs.define(eq=False)
class Allocation:
    """Room that a run takes on its worker.

    ``is_confirmed`` tells that the worker has said that it has the run.
    """

    task: Task
    run: int
    started_at: float
    is_confirmed: bool = False
    row: RunningRow | None = None
    ordered_percent: int = 100
    pace_ordered_at: float | None = None
    is_stop_requested: bool = False


@final
@attrs.define(eq=False)
class Worker:
    """One life of a worker; times are seconds of the leader's loop.

    ``lease_ends_at`` is when all that the worker ran under leases of this
    leader or an earlier one has ended for certain. ``seen_end`` numbers the
    newest end that was taken in, ``stored_end`` the newest that is committed;
    ``pending_ends`` are in between. ``inherited_by_task`` holds runs of an
    earlier life under this name, whose starts may still come, and
    ``strays_by_task`` runs that the worker lists and should not have.
    ``percent_by_image`` is the pace of filling images, and
    ``halted_at_by_image`` when that became next to nothing; ``figures`` are
    those that were judged last, ``hot_samples`` counts how many samples in a
    row had a tail near its goal, and ``recent_uses`` has what filling images
    used of late, in shares of the worker. The worker gets no new tasks before
    ``avoided_until``.
    """

    name: str
    born_ms: int
    report: WorkerReport = attrs.field(factory=WorkerReport)
    agent: str = ''
    heard_at: float = NEVER
    is_reconciled: bool = False
    is_gone: bool = False
    is_superseded: bool = False
    lease_ends_at: float = NEVER
    allocations_by_task: dict[str, Allocation] = attrs.field(factory=dict)
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    fill_millicores: int = 0
    lasting_millicores: int = 0
    seen_end: int = 0
    committed_end: int = 0
    pending_ends: deque[tuple[int, BatchChange]] = attrs.field(factory=deque)
    inherited_runs_by_task: dict[str, int] = attrs.field(factory=dict)
    unexpected_runs_by_task: dict[str, int] = attrs.field(factory=dict)
    percent_by_image: dict[str, int] = attrs.field(factory=dict)
    stalled_at_by_image: dict[str, float] = attrs.field(factory=dict)
    figures: tuple[tuple[str, float], ...] = ()
    sampled_at: float = NEVER
    hot_samples: int = 0
    recent_uses: dict[str, float] = attrs.field(factory=dict)
    lasting_by_image: dict[str, int] = attrs.field(factory=dict)
    failures_in_row: int = 0
    avoided_until: float = NEVER

    def allocation(self, task: Task, now: float) -> None:
        """Take room for the newest run of ``task``."""
        allocation = Allocation(task=task, run=task.run, started_at=now)
        self.allocations_by_task[task.name] = allocation
        self._add(task, 1)

    def release(self, task: Task) -> None:
        """Give the room of ``task`` back."""
        if self.allocations_by_task.pop(task.name, None) is not None:
            self._add(task, -1)

    def has_room(self, millicores: int, memory_mb: int, others: int) -> bool:
        """Tell whether a task of this size fits beside what is charged."""
        report = self.report
        return (
            self.millicores + millicores <= report.millicores
            and self.memory_mb + memory_mb <= report.memory_mb
            and self.accelerators + others <= report.accelerators
        )

    def unused_millicores(self) -> float:
        """Return what is left for filling tasks, all together."""
        used = self.millicores - (1 - LASTING_USE) * self.lasting_millicores
        return self.report.millicores - used

    def _add(self, task: Task, sign: int) -> None:
        step = task.step
        if step.fills:
            self.fill_millicores += sign * step.millicores
        else:
            self.millicores += sign * step.millicores
        if step.lasting:
            self.lasting_millicores += sign * step.millicores
            count = self.lasting_by_image.get(step.image, 0) + sign
            self.lasting_by_image[step.image] = count
        self.memory_mb += sign * step.memory_mb
        self.accelerators += sign * step.accelerators


@final
@attrs.define
class Fleet:
    """Lives of workers that matter to the leader, by name and birth."""

    fence: int
    workers_by_incarnation: dict[tuple[str, int], Worker] = attrs.field(
        factory=dict
    )
    idle_since_by_job: dict[str, float] = attrs.field(factory=dict)

    def idle_seconds(self, job: Job, now: float) -> float:
        """Return for how long a job that may start something runs nothing."""
        if job.active_tasks:
            self.idle_since_by_job.pop(job.job_id, None)
            return 0
        return now - self.idle_since_by_job.setdefault(job.job_id, now)

    def invalidate_paces(self, now: float) -> None:
        """Note that an earlier leader may have slowed any run."""
        for worker in self.workers_by_incarnation.values():
            for allocation in worker.allocations_by_task.values():
                allocation.pace_ordered_at = now

    def worker_of(self, task: Task) -> Worker | None:
        """Return the life of the worker that has the newest run of a task."""
        return self.workers_by_incarnation.get((task.worker, task.born_ms))

    def find(self, name: str, born_ms: int) -> Worker | None:
        """Return one life of a worker."""
        return self.workers_by_incarnation.get((name, born_ms))

    def open(
        self,
        name: str,
        born_ms: int,
        lease_ends_at: float,
        agent: str = '',
    ) -> Worker:
        """Return one life of a worker, created unheard if it is new."""
        worker = self.find(name, born_ms)
        if worker is None:
            worker = Worker(
                name=name,
                born_ms=born_ms,
                lease_ends_at=lease_ends_at,
                agent=agent,
            )
            self.workers_by_incarnation[name, born_ms] = worker
        return worker

    def remove_superseded(self) -> None:
        """Drop the lives that others have followed and that run nothing."""
        if len(self.idle_since_by_job) > MAX_IDLE_JOBS:
            self.idle_since_by_job.clear()
        self.workers_by_incarnation = {
            life: worker
            for life, worker in self.workers_by_incarnation.items()
            if worker.allocations_by_task or not worker.is_superseded
        }

"""Replicated state of jobs, their parts and their tasks."""

from collections.abc import Collection
from typing import final

import attrs

from wasabiturn.messages.batch import (
    AcceptJob,
    JobDeclaration,
    StartRun,
    Step,
)
from wasabiturn.messages.footprint import (
    ENDED_JOB,
    NO_FOOTPRINT,
    Footprint,
    measure_job,
)
from wasabiturn.messages.kinds import BatchTaskState, JobState

_MILLI = 1000
FINAL_STATES = frozenset((JobState.done, JobState.failed, JobState.cancelled))


@final
@attrs.define(eq=False)
class Task:
    """One task of a job.

    ``run`` is the number of its newest run, or 0 before the first.
    ``worker`` and ``born_ms`` identify the worker incarnation that has the
    run; ``agent`` is the agent instance of that worker, which has one worker
    at a time. ``is_bound`` is set if an order to start the task at the name
    ``worker`` was open when a run ended, ``is_settled`` once all orders for the
    newest run were answered.
    """

    name: str
    part: 'Part'
    state: BatchTaskState = BatchTaskState.waiting
    run: int = 0
    worker: str = ''
    born_ms: int = 0
    agent: str = ''
    failures: int = 0
    checkpoint: str = ''
    is_bound: bool = False
    is_settled: bool = False
    # When the binding, and orders for the newest run, expire on the clock of
    # the state; 0 if that is not known.
    bound_until_ms: int = 0
    orders_end_ms: int = 0
    # After it no order to start the newest run leaves the agent; likewise. See
    # ``order_limits.py``.
    order_limit_ms: int = 0
    # An order to start the newest run has long been out.
    has_overdue_order: bool = False
    # An older run than the newest has ended ``done``.
    is_completed: bool = False
    # Newest run of which a failure was counted.
    failed_run: int = 0
    # Crashes of workers that count against it; see ``crashes/crash.py``. The
    # late ones came after a run had worked; ``worked_ms`` is of the newest.
    crashes: int = 0
    late_crashes: int = 0
    worked_ms: int = 0
    # Agents of the workers that crashed so, each once.
    crash_agents: list[str] = attrs.field(factory=list)
    # It starts only in isolation; see ``isolation/suspects.py``.
    is_suspect: bool = False

    @property
    def job(self) -> 'Job':
        """Return the job that the task belongs to."""
        return self.part.job

    @property
    def step(self) -> Step:
        """Return the step that declares the task."""
        return self.part.step

    @property
    def is_known_to_have_begun(self) -> bool:
        """Return whether it is stored that the newest run has begun."""
        return self.is_settled or self.orders_end_ms > 0

    @property
    def avoids_its_worker(self) -> bool:
        """Return whether the worker of its newest run may be to blame."""
        return self.failures > 0 or self.agent in self.crash_agents

    def is_resumed_by(self, start: StartRun) -> bool:
        """Return whether an open order has begun the newest run again.

        A newer incarnation of the worker that the task is bound to has it.
        """
        is_newest_run = self.is_bound and start.run == self.run
        is_same_name = start.worker == self.worker
        return is_newest_run and is_same_name and start.born_ms > self.born_ms

    def mark_done(self) -> None:
        """Mark the task done, so that it gets no further run."""
        self.state = BatchTaskState.done
        self.part.waiting_by_name.pop(self.name, None)
        self.part.unfinished_tasks -= 1


@final
@attrs.define(eq=False)
class Part:
    """The tasks of one step in one occurrence of a periodic job.

    ``due_ms`` is Unix time in milliseconds.
    """

    job: 'Job'
    occurrence: int
    number: int
    step: Step
    due_ms: int
    unfinished_tasks: int
    waiting_by_name: dict[str, Task] = attrs.field(factory=dict)

    @property
    def name(self) -> str:
        """Return the prefix of the names of the tasks."""
        return f'{self.job.job_id}.{self.occurrence}.{self.number}'

    def open_tasks(self) -> list[Task]:
        """Return the tasks that were not dropped."""
        return [
            task
            for task in self.job.tasks_by_name.values()
            if task.part is self
        ]

    def is_ready(self) -> bool:
        """Return whether all steps that this one depends on are done."""
        parts_by_key = self.job.parts_by_key
        return all(
            parts_by_key[self.occurrence, earlier].unfinished_tasks == 0
            for earlier in self.step.after
        )


@final
@attrs.define(eq=False)
class Job:
    """An accepted job.

    Once it is final, its tasks are dropped, and then its steps.

    ``objective_ms`` is the time in which it should be done, derived from its
    caller's estimates and the terms of the queue.
    """

    accepted: AcceptJob
    state: JobState = JobState.queued
    parts_by_key: dict[tuple[int, int], Part] = attrs.field(factory=dict)
    tasks_by_name: dict[str, Task] = attrs.field(factory=dict)
    waiting_tasks: int = 0
    # Tasks that have a run, as far as is assumed.
    active_by_name: dict[str, Task] = attrs.field(factory=dict)
    objective_ms: float = 0
    # A run of one of its tasks has certainly begun. Replicas that do not lead
    # learn it from the ends of runs only.
    has_begun: bool = False
    # When it ended on the clock of the state; 0 if that is not known.
    ended_ms: int = 0
    # Likewise, when it was accepted or the newest end of a run was stored. A
    # run may have gone on since; a new leader hears of it from its worker.
    idle_since_ms: int = 0
    # Room that it takes in the state.
    footprint: Footprint = NO_FOOTPRINT

    @property
    def job_id(self) -> str:
        """Return the job ID, which the caller chose."""
        return self.accepted.declaration.job_id

    @property
    def queue(self) -> str:
        """Return the key of the queue that accepted the job."""
        return self.accepted.declaration.queue

    def due_ms(self) -> int:
        """Return the due time of the first unfinished occurrence, Unix ms."""
        declaration = self.accepted.declaration
        if not declaration.occurrences:
            return self.accepted.accepted_ms
        open_dues = [
            part.due_ms
            for part in self.parts_by_key.values()
            if part.unfinished_tasks
        ]
        return min(open_dues, default=declaration.first_ms)

    def remaining_ms(self) -> int:
        """Return the estimated critical path of the steps not done yet."""
        steps = self.accepted.declaration.steps
        done = set(filter(self._is_done, range(len(steps))))
        return longest_chain_ms(steps, done)

    def remaining_work(self) -> int:
        """Return the estimated work that remains, in core milliseconds."""
        return sum(
            part.unfinished_tasks
            * part.step.estimate_ms
            * part.step.millicores
            // _MILLI
            for part in self.parts_by_key.values()
        )

    def _is_done(self, number: int) -> bool:
        occurrences = max(self.accepted.declaration.occurrences, 1)
        return not any(
            self.parts_by_key[occurrence, number].unfinished_tasks
            for occurrence in range(occurrences)
        )

    def shrink(self) -> None:
        """Forget the steps of an ended job; it is only asked for its state."""
        self.footprint = ENDED_JOB
        declaration = self.accepted.declaration
        self.parts_by_key = {}
        self.accepted = attrs.evolve(
            self.accepted,
            declaration=JobDeclaration(
                job_id=declaration.job_id, queue=declaration.queue
            ),
        )

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended and starts no more tasks."""
        return self.state in FINAL_STATES


def longest_chain_ms(
    steps: list[Step],
    done: Collection[int] = (),
) -> int:
    """Return the estimated critical path of the steps, without those done."""
    ends_ms: list[int] = []
    for number, step in enumerate(steps):
        begun_ms = max((ends_ms[each] for each in step.after), default=0)
        own_ms = 0 if number in done else step.estimate_ms
        ends_ms.append(begun_ms + own_ms)
    return max(ends_ms, default=0)


def count_tasks(declaration: JobDeclaration) -> int:
    """Return the number of tasks in all occurrences of a job."""
    tasks = sum(step.tasks for step in declaration.steps)
    return tasks * max(declaration.occurrences, 1)


def create_job(accepted: AcceptJob) -> Job:
    """Create a job with all its tasks waiting."""
    declaration = accepted.declaration
    terms = accepted.terms
    chain_ms = longest_chain_ms(declaration.steps)
    job = Job(
        accepted=accepted,
        objective_ms=terms.stretch * chain_ms + terms.slack_ms,
        footprint=measure_job(accepted, count_tasks(declaration)),
    )
    for occurrence in range(max(declaration.occurrences, 1)):
        for number, step in enumerate(declaration.steps):
            _add_part(job, occurrence, number, step)
    return job


def _add_part(job: Job, occurrence: int, number: int, step: Step) -> None:
    declaration = job.accepted.declaration
    due_ms = 0
    if declaration.occurrences:
        due_ms = declaration.first_ms + occurrence * declaration.interval_ms
    part = Part(
        job=job,
        occurrence=occurrence,
        number=number,
        step=step,
        due_ms=due_ms,
        unfinished_tasks=step.tasks,
    )
    job.parts_by_key[occurrence, number] = part
    for index in range(step.tasks):
        task = Task(name=f'{part.name}.{index}', part=part)
        job.tasks_by_name[task.name] = task
        part.waiting_by_name[task.name] = task
    job.waiting_tasks += step.tasks

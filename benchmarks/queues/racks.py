"""Racks, data in racks and the slowdown outside them, for the simulation."""

import math
from random import Random
from typing import final

import attrs

from benchmarks.queues.deployments import Deployment
from benchmarks.queues.simulation import (
    LATE_FACTOR,
    MS_PER_SECOND,
    SimulatedRun,
    Simulation,
)
from wasabiturn.batch.fleet import Allocation, Worker
from wasabiturn.batch.placing.locality.rack_choice import find_racks
from wasabiturn.batch.placing.locality.state import (
    Decide,
    LocalityState,
    LocalityTerms,
)
from wasabiturn.batch.placing.run_times import learn_from_ends
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import AcceptJob, EndRun
from wasabiturn.messages.kinds import RunEnding


@final
@attrs.frozen
class RackOptions:
    """Racks of a deployment, and how its jobs use them."""

    workers_per_rack: int = 8
    # Shares of the jobs whose steps prefer one rack, or ask for one rack.
    near_share: float = 0.5
    same_rack_share: float = 0.1
    # Share of the jobs that want the first rack from the first second to the
    # last of a burst.
    hot_share: float = 0.0
    hot_seconds: tuple[float, float] = (8.0, 16.0)
    slowdown_factor: float = 2.0
    # Estimates are wrong by up to this factor, the same for a whole job.
    estimate_error: float = 2.0


@final
@attrs.frozen
class Policy:
    """How tasks wait: ``is_aware`` for any rule but that of today."""

    name: str
    is_aware: bool = True
    decide: Decide | None = None


@final
class RackSimulation(Simulation):
    """Simulation in which tasks are slower outside their rack.

    Jobs and their arrivals are the same for all policies.
    """

    def __init__(
        self,
        deployment: Deployment,
        options: RackOptions,
        policy: Policy,
        seed: int,
    ) -> None:
        """Create workers in racks; no job has been submitted yet."""
        self._options = options
        self._seed = seed
        self._error_by_job: dict[str, float] = {}
        super().__init__(deployment, seed)
        self._arrivals = Random(f'arrivals-{seed}')
        self._job_generator.random = self._arrivals
        self.fleet.locality = LocalityState(
            terms=LocalityTerms(
                slowdown_factor=options.slowdown_factor,
                is_enabled=policy.is_aware,
            ),
            decide=policy.decide,
        )

    def _add_worker(self, name: str) -> None:
        super()._add_worker(name)
        worker = self.fleet.workers_by_incarnation[name, 1]
        number = len(self.fleet.workers_by_incarnation) - 1
        rack = number // self._options.workers_per_rack
        worker.report.rack = f'r{rack}'

    def _submit_jobs(self) -> None:
        others = self._random
        self._random = self._arrivals
        super()._submit_jobs()
        self._random = others

    def _submit(self, accepted: AcceptJob) -> None:
        declaration = accepted.declaration
        wishes = Random(f'{self._seed}-{declaration.job_id}')
        if not declaration.steps[0].lasting:
            self._add_wish(accepted, wishes)
            spread = math.log(self._options.estimate_error)
            error = math.exp(wishes.uniform(-spread, spread))
            self._error_by_job[declaration.job_id] = error
        super()._submit(accepted)

    def _add_wish(self, accepted: AcceptJob, wishes: Random) -> None:
        options = self._options
        workers = len(self.fleet.workers_by_incarnation)
        rack = wishes.randrange(math.ceil(workers / options.workers_per_rack))
        draw = wishes.random()
        begin, end = options.hot_seconds
        if begin <= self.now < end and wishes.random() < options.hot_share:
            rack = 0
            draw = 0.0
        for step in accepted.declaration.steps:
            if draw < options.near_share:
                step.preferred_rack = f'r{rack}'
            elif draw < options.near_share + options.same_rack_share:
                step.same_rack = True

    def _plan(self) -> None:
        super()._plan()
        self.fleet.locality.take_ended()

    def _start_run(self, task: Task) -> None:
        super()._start_run(task)
        error = self._error_by_job.get(task.job.job_id, 1.0)
        self._runs_by_task[task.name].remaining_seconds *= error

    def _end_run(self, allocation: Allocation, ending: RunEnding) -> None:
        end = EndRun(
            task=allocation.task.name, run=allocation.run, ending=ending
        )
        learn_from_ends(self.fleet, self.batch_state, [end], self.now)
        super()._end_run(allocation, ending)

    def _share_processors(
        self, worker: Worker, runs: list[SimulatedRun]
    ) -> dict[str, float]:
        uses = super()._share_processors(worker, runs)
        for run in runs:
            if self._is_slowed(worker, run.allocation.task):
                run.rate /= self._options.slowdown_factor
        return uses

    def _is_slowed(self, worker: Worker, task: Task) -> bool:
        step = task.step
        if step.preferred_rack:
            return step.preferred_rack != worker.report.rack
        return step.same_rack and len(find_racks(task.part, self.fleet)) > 1

    def _score_jobs(self) -> None:
        """Score jobs by the objectives that exact estimates would give."""
        for job_id, done_at in self._done_at_by_job_id.items():
            job = self.batch_state.jobs_by_id[job_id]
            error = self._error_by_job.get(job_id, 1.0)
            slack_ms = job.accepted.terms.slack_ms
            objective_ms = (job.objective_ms - slack_ms) * error + slack_ms
            elapsed_ms = done_at * MS_PER_SECOND - job.accepted.accepted_ms
            queue = job.accepted.declaration.queue
            counts = self.score.in_time
            if elapsed_ms > objective_ms:
                counts = self.score.late
            if elapsed_ms <= LATE_FACTOR * objective_ms:
                counts[queue] = counts.get(queue, 0) + 1

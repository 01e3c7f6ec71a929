"""Simulation of job scheduling: the real decisions on a model of workers."""

import math
from random import Random
from typing import final

import attrs

from benchmarks.queues.deployments import (
    FILLING,
    QUICK,
    Deployment,
    JobGenerator,
)
from benchmarks.queues.durations import DurationModel
from benchmarks.queues.oracle import create_interference, read_curve
from wasabiturn.batch import BatchState, apply_batch_change
from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.placing.loads import Load
from wasabiturn.batch.placing.moves import reserve_place
from wasabiturn.batch.placing.sharing import adjust_pace, set_pace
from wasabiturn.batch.planning import plan_moves, plan_starts
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import (
    AcceptJob,
    BatchChange,
    EndRun,
    RunningRow,
    WorkerReport,
)
from wasabiturn.messages.kinds import JobState, RunEnding
from wasabiturn.standins.interference import LoadCurve, TailLatencyModel

TICK_SECONDS = 0.05
REPORT_INTERVAL_SECONDS = 0.4
# Time until a pace order takes effect.
PACE_DELAY_SECONDS = 0.1
# Time for the last jobs to finish.
DRAIN_SECONDS = 16.0
# A job counts as late up to this multiple of its objective.
LATE_FACTOR = 3
MS_PER_SECOND = 1000


@final
@attrs.define(eq=False)
class SimulatedRun:
    """A run of a task on a simulated worker."""

    allocation: Allocation
    # Remaining work, in seconds at full pace.
    remaining_seconds: float
    tail: TailLatencyModel | None
    # Ordered pace, and actual speed: the pace times the share of the CPU demand
    # of all filling tasks that the worker can meet.
    pace: float = 1.0
    rate: float = 0.0
    # The run fails with so much work left.
    fails_at: float = -1.0
    # When each pace order takes effect, and its pace.
    pace_orders: list[tuple[float, float]] = attrs.field(factory=list)


@final
@attrs.define
class Score:
    """Results of a simulation; numbers of jobs are by queue."""

    submitted: dict[str, int] = attrs.field(factory=dict)
    in_time: dict[str, int] = attrs.field(factory=dict)
    late: dict[str, int] = attrs.field(factory=dict)
    # Seconds of all lasting tasks, and those of them above their tail latency
    # goal while filling tasks ran beside them.
    lasting_seconds: float = 0.0
    over_goal_seconds: float = 0.0


class Simulation:
    """Simulate the workers and jobs of one deployment."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Create the workers; no job has been submitted yet."""
        self.now = 0.0
        self.score = Score()
        self.batch_state = BatchState(
            on_start=self._start_run, on_end=self._release
        )
        self.fleet = Fleet(fence=1)
        self._deployment = deployment
        self._random = Random(seed)
        self._job_generator = JobGenerator(deployment, self._random)
        self._pressure_by_images = self._job_generator.draw_pressures()
        self._durations = DurationModel(deployment, self._random)
        self._phase_by_job_id: dict[str, float] = {}
        self.interference = create_interference(
            deployment.knowledge, self._pressure_by_images, self._read_load
        )
        self._forecasts = Forecasts(self.interference)
        self._runs_by_task: dict[str, SimulatedRun] = {}
        self._done_at_by_job_id: dict[str, float] = {}
        for number in range(deployment.workers):
            self._add_worker(f'w{number}')

    def simulate(self, seconds: float) -> Score:
        """Submit jobs for ``seconds``, and let the last ones finish."""
        for _ in range(self._deployment.lasting_jobs):
            self._submit(self._job_generator.create_lasting_job())
        while self.now < seconds + DRAIN_SECONDS:
            if self.now < seconds:
                self._submit_jobs()
            self._advance()
        self._score_jobs()
        return self.score

    def _add_worker(self, name: str) -> None:
        report = WorkerReport(
            worker=name,
            born_ms=1,
            service_name='service',
            millicores=int(
                self._deployment.millicores * self._random.choice([1, 1, 1.5])
            ),
            memory_mb=self._deployment.memory_mb,
            listed=True,
            fence=1,
        )
        worker = Worker(name=name, born_ms=1, report=report, is_reconciled=True)
        self.fleet.workers_by_incarnation[name, 1] = worker

    def _submit_jobs(self) -> None:
        wall_ms = int(self.now * MS_PER_SECOND)
        if self._random.random() < self._deployment.quick_rate * TICK_SECONDS:
            self._submit(self._job_generator.create_quick_job(wall_ms))
        rate = self._deployment.filling_rate_at(self.now)
        if self._random.random() < rate * TICK_SECONDS:
            self._submit(self._job_generator.create_filling_job(wall_ms))

    def _read_load(self, job_id: str) -> Load:
        """Return the load of a job when an order sent now takes effect."""
        curve = self._create_curve(job_id, image='')
        return read_curve(curve, self.now + REPORT_INTERVAL_SECONDS / 2)

    def _create_curve(self, job_id: str, image: str) -> LoadCurve:
        phase = self._phase_by_job_id.setdefault(
            job_id, self._random.uniform(0, math.tau)
        )
        return LoadCurve(
            image=image,
            period_seconds=self._deployment.load_period_seconds,
            phase=phase,
        )

    def _submit(self, accepted: AcceptJob) -> None:
        _count(self.score.submitted, accepted.declaration.queue)
        self._durations.declare(accepted)
        apply_batch_change(self.batch_state, BatchChange(accepts=[accepted]))

    def _advance(self) -> None:
        self.now += TICK_SECONDS
        for worker in self.fleet.workers_by_incarnation.values():
            self._advance_runs(worker)
            self._send_report(worker)
        self._plan()

    def _plan(self) -> None:
        moment = Moment(now=self.now, wall_ms=int(self.now * MS_PER_SECOND))
        for start in plan_starts(
            self.batch_state, self.fleet, self._forecasts, moment
        ):
            apply_batch_change(self.batch_state, BatchChange(starts=[start]))
            worker = self.fleet.workers_by_incarnation[
                start.worker, start.born_ms
            ]
            set_pace(worker, self.interference, self.now)
        for planned in list(
            plan_moves(self.batch_state, self.fleet, self._forecasts, self.now),
        ):
            reserve_place(self.fleet, planned, self.now)
            self._end_run(planned.allocation, RunEnding.stopped)

    def _start_run(self, task: Task) -> None:
        worker = self.fleet.worker_of(task)
        assert worker is not None
        worker.allocate(task, self.now)
        allocation = worker.allocations_by_task[task.name]
        allocation.confirm(self.now)
        tail = None
        if task.step.lasting:
            curve = self._create_curve(task.job.job_id, task.step.image)
            tail = TailLatencyModel(curve)
        remaining_seconds = self._durations.remaining_seconds(task)
        run = SimulatedRun(allocation, remaining_seconds, tail)
        if self._random.random() < self._deployment.failed_share:
            run.fails_at = remaining_seconds * self._random.random()
        self._runs_by_task[task.name] = run

    def _release(self, task: Task) -> None:
        worker = self.fleet.worker_of(task)
        assert worker is not None
        worker.release(task)
        run = self._runs_by_task.pop(task.name)
        if run.remaining_seconds > run.fails_at:
            self._durations.save(task, run.remaining_seconds)

    def _end_run(self, allocation: Allocation, ending: RunEnding) -> None:
        end = EndRun(
            task=allocation.task.name, run=allocation.run, ending=ending
        )
        apply_batch_change(self.batch_state, BatchChange(ends=[end]))
        job = allocation.task.job
        if job.state is JobState.done:
            self._done_at_by_job_id[job.job_id] = self.now

    def _advance_runs(self, worker: Worker) -> None:
        runs = [self._runs_by_task[name] for name in worker.allocations_by_task]
        uses = self._share_processors(worker, runs)
        for run in runs:
            step = run.allocation.task.step
            if run.tail is not None:
                load_rise = sum(
                    self._pressure_by_images.get((step.image, image), 0) * use
                    for image, use in uses.items()
                )
                run.tail.advance(self.now, TICK_SECONDS, load_rise)
                self._record_tail(run.tail, load_rise)
                continue
            run.remaining_seconds -= TICK_SECONDS * run.rate
            if run.remaining_seconds <= 0:
                self._end_run(run.allocation, RunEnding.done)
            elif run.remaining_seconds <= run.fails_at:
                self._durations.record_failure(
                    run.allocation.task, run.remaining_seconds
                )
                self._end_run(run.allocation, RunEnding.failed)

    def _share_processors(
        self,
        worker: Worker,
        runs: list[SimulatedRun],
    ) -> dict[str, float]:
        """Set the rates of all runs; return the CPU use of each filling image.

        Uses are shares of the worker. Filling tasks share the CPU that lasting
        and quick tasks leave.
        """
        worker_millicores = worker.report.millicores
        free_millicores = float(worker_millicores)
        filling = [run for run in runs if run.allocation.task.step.fills]
        for run in runs:
            run.rate = 1.0
            busy = run.tail.traffic.load(self.now) if run.tail else 1.0
            if run not in filling:
                free_millicores -= run.allocation.task.step.millicores * busy
        demand_millicores = sum(
            each.allocation.task.step.millicores for each in filling
        )
        share = min(max(free_millicores, 0) / max(demand_millicores, 1), 1)
        uses: dict[str, float] = {}
        for run in filling:
            step = run.allocation.task.step
            run.rate = self._update_pace(run) * share
            use = run.rate * step.millicores / worker_millicores
            uses[step.image] = uses.get(step.image, 0) + use
        return uses

    def _update_pace(self, run: SimulatedRun) -> float:
        while run.pace_orders and run.pace_orders[0][0] <= self.now:
            run.pace = run.pace_orders.pop(0)[1]
        return run.pace

    def _record_tail(self, tail: TailLatencyModel, load_rise: float) -> None:
        self.score.lasting_seconds += TICK_SECONDS
        if tail.tail > 1 and load_rise > 0:
            self.score.over_goal_seconds += TICK_SECONDS

    def _send_report(self, worker: Worker) -> None:
        if self.now < worker.heard_at + REPORT_INTERVAL_SECONDS:
            return
        worker.heard_at = self.now
        worker.listed_at = self.now
        rows: list[RunningRow] = []
        for name, allocation in worker.allocations_by_task.items():
            allocation.row = self._create_row(name, allocation)
            rows.append(allocation.row)
        worker.report.running = rows
        adjust_pace(worker, self.interference, self.now)
        for name, allocation in worker.allocations_by_task.items():
            percent = worker.percent_by_image.get(
                allocation.task.step.image, 100
            )
            if (
                allocation.task.step.fills
                and percent != allocation.ordered_percent
            ):
                allocation.ordered_percent = percent
                order = (self.now + PACE_DELAY_SECONDS, percent / 100)
                self._runs_by_task[name].pace_orders.append(order)

    def _create_row(self, name: str, allocation: Allocation) -> RunningRow:
        run = self._runs_by_task[name]
        step = allocation.task.step
        if run.tail is None:
            figure = run.rate * step.millicores
        else:
            figure = run.tail.figure(self._random) * step.tail_goal_ms
        return RunningRow(
            task=name,
            run=allocation.run,
            percent=self._durations.percent(
                allocation.task, run.remaining_seconds
            ),
            figure=figure,
        )

    def _score_jobs(self) -> None:
        for job_id, done_at in self._done_at_by_job_id.items():
            job = self.batch_state.jobs_by_id[job_id]
            queue = job.accepted.declaration.queue
            elapsed_ms = done_at * MS_PER_SECOND - job.accepted.accepted_ms
            objective_ms = self._durations.objective_ms(job)
            if elapsed_ms <= objective_ms:
                _count(self.score.in_time, queue)
            elif elapsed_ms <= LATE_FACTOR * objective_ms:
                _count(self.score.late, queue)


def _count(counts: dict[str, int], queue: str) -> None:
    counts[queue] = counts.get(queue, 0) + 1


__all__ = ('FILLING', 'QUICK', 'Score', 'Simulation')

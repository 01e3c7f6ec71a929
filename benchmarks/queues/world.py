"""A day of queues: the deciding code, and a model of workers under it."""

import math
from random import Random
from typing import final

import attrs

from benchmarks.queues.shapes import FILLING, QUICK, JobMaker, Shape
from wasabiturn.batch import BatchState, apply_batch_change
from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.interference import Interference
from wasabiturn.batch.jobs import Task
from wasabiturn.batch.ordering import Moment
from wasabiturn.batch.planning import plan_moves, plan_starts
from wasabiturn.batch.sharing import adjust_pace, set_pace
from wasabiturn.messages.batch import (
    AcceptJob,
    BatchChange,
    EndRun,
    RunningRow,
    WorkerReport,
)
from wasabiturn.messages.kinds import JobState, RunEnding
from wasabiturn.standins.sharing import LastingTraffic, StandInTail

STEP_SECONDS = 0.05
REPORT_SECONDS = 0.4
PACE_SECONDS = 0.1
TAIL_SECONDS = 16.0
LATE_FACTOR = 3
MS = 1000


@final
@attrs.define(eq=False)
class ModelRun:
    """One run; ``left`` is work in seconds at full pace."""

    allocation: Allocation
    left: float
    tail: StandInTail | None
    pace: float = 1.0
    rate: float = 0.0
    orders: list[tuple[float, float]] = attrs.field(factory=list)


@final
@attrs.define
class Score:
    """What callers got; seconds of lasting tasks over their goal by others."""

    owed: dict[str, int] = attrs.field(factory=dict)
    in_time: dict[str, int] = attrs.field(factory=dict)
    late: dict[str, int] = attrs.field(factory=dict)
    lasting_seconds: float = 0.0
    harmed_seconds: float = 0.0


@final
class World:
    """Workers, jobs and decisions of one day."""

    def __init__(self, shape: Shape, seed: int) -> None:
        """Create an empty day; ``play`` lets it pass."""
        self.now = 0.0
        self.score = Score()
        self.known = Interference()
        self.batch_state = BatchState(
            on_start=self._begin, on_end=self._release
        )
        self.fleet = Fleet(fence=1)
        self._shape = shape
        self._random = Random(seed)
        self._maker = JobMaker(shape, self._random)
        self._pressures = self._maker.draw_pressures()
        self._phases: dict[str, float] = {}
        self._runs: dict[str, ModelRun] = {}
        self._done_at: dict[str, float] = {}
        for number in range(shape.workers):
            self._add_worker(f'w{number}')

    def play(self, seconds: float) -> Score:
        """Hand jobs in for ``seconds``, and let the last ones finish."""
        for _ in range(self._shape.lasting_jobs):
            self._accept(self._maker.lasting())
        while self.now < seconds + TAIL_SECONDS:
            if self.now < seconds:
                self._hand_in()
            self._advance()
        self._judge()
        return self.score

    def _add_worker(self, name: str) -> None:
        report = WorkerReport(
            worker=name,
            born_ms=1,
            service_name='service',
            millicores=int(
                self._shape.millicores * self._random.choice([1, 1, 1.5])
            ),
            memory_mb=self._shape.memory_mb,
            listed=True,
            fence=1,
        )
        worker = Worker(name=name, born_ms=1, report=report, is_reconciled=True)
        self.fleet.workers_by_incarnation[name, 1] = worker

    def _hand_in(self) -> None:
        wall_ms = int(self.now * MS)
        if self._random.random() < self._shape.quick_rate * STEP_SECONDS:
            self._accept(self._maker.quick(wall_ms))
        if self._random.random() < self._shape.filling_rate * STEP_SECONDS:
            self._accept(self._maker.filling(wall_ms))

    def _accept(self, accepted: AcceptJob) -> None:
        _count(self.score.owed, accepted.declaration.queue)
        apply_batch_change(self.batch_state, BatchChange(accepts=[accepted]))

    def _advance(self) -> None:
        self.now += STEP_SECONDS
        for worker in self.fleet.workers_by_incarnation.values():
            self._work(worker)
            self._report(worker)
        self._plan()

    def _plan(self) -> None:
        moment = Moment(now=self.now, wall_ms=int(self.now * MS))
        for start in plan_starts(
            self.batch_state, self.fleet, self.known, moment
        ):
            apply_batch_change(self.batch_state, BatchChange(starts=[start]))
            worker = self.fleet.workers_by_incarnation[
                start.worker, start.born_ms
            ]
            set_pace(worker, self.known, self.now)
        for allocation in list(
            plan_moves(self.batch_state, self.fleet, self.known, self.now),
        ):
            self._end(allocation, RunEnding.stopped)

    def _begin(self, task: Task) -> None:
        worker = self.fleet.worker_of(task)
        assert worker is not None
        worker.allocation(task, self.now)
        allocation = worker.allocations_by_task[task.name]
        tail = None
        if task.step.lasting:
            phase = self._phases.setdefault(
                task.job.job_id,
                self._random.uniform(0, math.tau),
            )
            tail = StandInTail(
                LastingTraffic(
                    image=task.step.image,
                    period=self._shape.period,
                    phase=phase,
                ),
            )
        left = task.step.estimate_ms / MS * self._random.uniform(0.8, 1.2)
        self._runs[task.name] = ModelRun(allocation, left, tail)

    def _release(self, task: Task) -> None:
        worker = self.fleet.worker_of(task)
        assert worker is not None
        worker.release(task)
        self._runs.pop(task.name)

    def _end(self, allocation: Allocation, ending: RunEnding) -> None:
        end = EndRun(
            task=allocation.task.name, run=allocation.run, ending=ending
        )
        apply_batch_change(self.batch_state, BatchChange(ends=[end]))
        job = allocation.task.job
        if job.state is JobState.done:
            self._done_at[job.job_id] = self.now

    def _work(self, worker: Worker) -> None:
        runs = [self._runs[name] for name in worker.allocations_by_task]
        uses = self._share_processors(worker, runs)
        for run in runs:
            step = run.allocation.task.step
            if run.tail is not None:
                press = sum(
                    self._pressures.get((step.image, image), 0) * use
                    for image, use in uses.items()
                )
                run.tail.advance(self.now, STEP_SECONDS, press)
                self._judge_tail(run.tail, press)
                continue
            run.left -= STEP_SECONDS * run.rate
            if run.left <= 0:
                self._end(run.allocation, RunEnding.done)

    def _share_processors(
        self,
        worker: Worker,
        runs: list[ModelRun],
    ) -> dict[str, float]:
        """Set the rates of all runs; return uses by filling image."""
        size = worker.report.millicores
        free = float(size)
        filling = [run for run in runs if run.allocation.task.step.fills]
        for run in runs:
            run.rate = 1.0
            busy = run.tail.traffic.load(self.now) if run.tail else 1.0
            if run not in filling:
                free -= run.allocation.task.step.millicores * busy
        wanted = sum(each.allocation.task.step.millicores for each in filling)
        part = min(max(free, 0) / max(wanted, 1), 1)
        uses: dict[str, float] = {}
        for run in filling:
            step = run.allocation.task.step
            run.rate = self._pace(run) * part
            use = run.rate * step.millicores / size
            uses[step.image] = uses.get(step.image, 0) + use
        return uses

    def _pace(self, run: ModelRun) -> float:
        while run.orders and run.orders[0][0] <= self.now:
            run.pace = run.orders.pop(0)[1]
        return run.pace

    def _judge_tail(self, tail: StandInTail, press: float) -> None:
        self.score.lasting_seconds += STEP_SECONDS
        if tail.tail > 1 and press > 0:
            self.score.harmed_seconds += STEP_SECONDS

    def _report(self, worker: Worker) -> None:
        if self.now < worker.heard_at + REPORT_SECONDS:
            return
        worker.heard_at = self.now
        rows: list[RunningRow] = []
        for name, allocation in worker.allocations_by_task.items():
            allocation.row = self._row(name, allocation)
            rows.append(allocation.row)
        worker.report.running = rows
        adjust_pace(worker, self.known, self.now)
        for name, allocation in worker.allocations_by_task.items():
            percent = worker.percent_by_image.get(
                allocation.task.step.image, 100
            )
            if (
                allocation.task.step.fills
                and percent != allocation.ordered_percent
            ):
                allocation.ordered_percent = percent
                order = (self.now + PACE_SECONDS, percent / 100)
                self._runs[name].orders.append(order)

    def _row(self, name: str, allocation: Allocation) -> RunningRow:
        run = self._runs[name]
        step = allocation.task.step
        if run.tail is None:
            figure = run.rate * step.millicores
        else:
            figure = run.tail.figure(self._random) * step.tail_goal_ms
        return RunningRow(task=name, run=allocation.run, figure=figure)

    def _judge(self) -> None:
        for job_id, done_at in self._done_at.items():
            job = self.batch_state.jobs_by_id[job_id]
            queue = job.accepted.declaration.queue
            passed_ms = done_at * MS - job.accepted.accepted_ms
            if passed_ms <= job.objective_ms:
                _count(self.score.in_time, queue)
            elif passed_ms <= LATE_FACTOR * job.objective_ms:
                _count(self.score.late, queue)


def _count(counts: dict[str, int], queue: str) -> None:
    counts[queue] = counts.get(queue, 0) + 1


__all__ = ('FILLING', 'QUICK', 'Score', 'World')

"""Processor time of one plan with 300 workers and 1,000 waiting steps.

``python -m benchmarks.planning_costs [--rounds N]``

Prints the times of plans that start nothing, and of those that do, on the loop
of the leader: for steps that wait for their racks beside workers with room, for
the same steps where no worker has room, and for the same without the feature.
"""

import argparse
import time
from statistics import median
from typing import final

import attrs

from wasabiturn.batch import BatchState, apply_batch_change
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.placing.interference import Interference
from wasabiturn.batch.placing.locality.state import (
    LocalityState,
    LocalityTerms,
)
from wasabiturn.batch.planning import plan_starts
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import (
    AcceptJob,
    BatchChange,
    JobDeclaration,
    Step,
    Terms,
    WorkerReport,
)

WORKERS = 300
WORKERS_PER_RACK = 10
STEPS = 1000
# Runs that keep each worker of a full rack busy.
RUNS_PER_WORKER = 16
HOT_RACKS = 15
WALL_MS = 1_000_000
MS_PER_SECOND = 1000
PLAN_SECONDS = 0.1


@final
@attrs.frozen
class Case:
    """Which racks are full, and whether tasks wait for them."""

    name: str
    full_racks: int
    slowdown_factor: float
    same_rack: bool = False


CASES = (
    Case('waits beside room', HOT_RACKS, 2),
    Case('room, feature off', HOT_RACKS, 1),
    Case('no room', WORKERS // WORKERS_PER_RACK, 2),
    Case('no room, feature off', WORKERS // WORKERS_PER_RACK, 1),
    Case('no room, one rack for all', WORKERS // WORKERS_PER_RACK, 2, True),
)


@final
class Model:
    """A fleet, and jobs that keep some of its racks busy."""

    def __init__(self, case: Case) -> None:
        """Start the runs; the steps wait."""
        self.case = case
        self.now = 0.0
        self.starts = 0
        self.fleet = Fleet(fence=1)
        self.fleet.locality = LocalityState(
            LocalityTerms(slowdown_factor=case.slowdown_factor)
        )
        self.forecasts = Forecasts(Interference())
        self.batch_state = BatchState(on_start=self._start_run)
        for number in range(WORKERS):
            self._add_worker(number)
        full_workers = case.full_racks * WORKERS_PER_RACK
        for number in range(full_workers):
            self._submit(f'busy{number}', self._busy_step(number))
        self._start_all()
        for number in range(STEPS):
            self._submit(f'j{number}', self._waiting_step(number))

    def plan(self) -> float:
        """Plan once; return the processor seconds that it took."""
        for worker in self.fleet.workers_by_incarnation.values():
            worker.heard_at = self.now
        moment = Moment(
            now=self.now, wall_ms=WALL_MS + int(self.now * MS_PER_SECOND)
        )
        starts = plan_starts(
            self.batch_state, self.fleet, self.forecasts, moment
        )
        began = time.process_time()
        for start in starts:
            apply_batch_change(self.batch_state, BatchChange(starts=[start]))
            self.starts += 1
        self.fleet.locality.take_ended()
        return time.process_time() - began

    def _start_all(self) -> None:
        before = -1
        while self.starts > before:
            before = self.starts
            self.plan()

    def _add_worker(self, number: int) -> None:
        report = WorkerReport(
            worker=f'w{number}',
            born_ms=1,
            service_name='service',
            rack=f'r{number // WORKERS_PER_RACK}',
            millicores=RUNS_PER_WORKER * MS_PER_SECOND,
            memory_mb=64_000,
            labels=[f'only{number}'],
            listed=True,
            fence=1,
        )
        worker = Worker(
            name=report.worker, born_ms=1, report=report, is_reconciled=True
        )
        self.fleet.workers_by_incarnation[worker.name, 1] = worker

    def _busy_step(self, number: int) -> Step:
        return Step(
            tasks=RUNS_PER_WORKER,
            millicores=MS_PER_SECOND,
            memory_mb=100,
            estimate_ms=5000,
            required_label=f'only{number}',
        )

    def _waiting_step(self, number: int) -> Step:
        rack = f'r{number % self.case.full_racks}'
        return Step(
            tasks=1 + number % 5,
            millicores=200 + 10 * (number % 50),
            memory_mb=100,
            estimate_ms=60_000,
            preferred_rack='' if self.case.same_rack else rack,
            same_rack=self.case.same_rack,
        )

    def _submit(self, job_id: str, step: Step) -> None:
        declaration = JobDeclaration(job_id=job_id, queue='q', steps=[step])
        terms = Terms(service_name='service', attempts=2, stretch=1.2)
        accepted = AcceptJob(
            declaration=declaration, terms=terms, accepted_ms=WALL_MS
        )
        apply_batch_change(self.batch_state, BatchChange(accepts=[accepted]))

    def _start_run(self, task: Task) -> None:
        worker = self.fleet.worker_of(task)
        assert worker is not None
        worker.allocate(task, self.now)


def measure(case: Case, rounds: int) -> str:
    """Return the figures of one case."""
    model = Model(case)
    model.starts = 0
    first = model.plan() * MS_PER_SECOND
    starting: list[float] = [first]
    quiet: list[float] = []
    for _ in range(rounds):
        model.now += PLAN_SECONDS
        starts = model.starts
        milliseconds = model.plan() * MS_PER_SECOND
        (quiet if starts == model.starts else starting).append(milliseconds)
    return (
        f'{case.name:26} without starts: median {_median(quiet):5.1f} ms'
        f'  highest {max(quiet, default=0):5.1f} ms  with starts: highest'
        f' {max(starting):5.1f} ms  starts {model.starts}'
        f'  waits {len(model.fleet.locality.waits_by_part)}'
    )


def _median(figures: list[float]) -> float:
    return median(figures) if figures else 0


def main() -> None:
    """Measure each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=14)
    rounds = parser.parse_args().rounds
    for case in CASES:
        print(measure(case, rounds))


if __name__ == '__main__':
    main()

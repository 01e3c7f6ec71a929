"""Cost of starting each program, and of planning as the fleet grows.

``python -m benchmarks.fleet_costs [--rounds N] [--workers 11,73,160]``

Start-up is the processor time and the peak memory of a process that imports
what a program runs, beside one that imports the libraries alone. Planning is
the processor time of the leader's decisions in ``benchmarks.queues``, for each
run that it starts, with jobs and workers in the same proportion.
"""

import argparse
import subprocess
import sys
import time
from statistics import median
from types import MappingProxyType

import attrs

from benchmarks.queues.deployments import DEPLOYMENTS, Deployment
from benchmarks.queues.simulation import Simulation

LIBRARIES = (
    'import attrs, eliot, httptools, prometheus_client, thriftpy2, yaml; '
    'from thriftpy2.protocol.cybin import TCyBinaryProtocol; '
    'from twisted.internet import reactor'
)
PROGRAM = 'import wasabiturn.platform.__main__, wasabiturn.platform.{}_program'
SCRIPTS_BY_NAME = MappingProxyType(
    {
        'libraries': LIBRARIES,
        'agent': PROGRAM.format('agent'),
        'entry': PROGRAM.format('entry'),
        'control': PROGRAM.format('control'),
        'without disk': 'import wasabiturn.platform.__main__',
    }
)
# A new process inherits the maximum that ``getrusage`` shows.
READ_USAGE = """
import pathlib, resource
used = resource.getrusage(resource.RUSAGE_SELF)
status = pathlib.Path('/proc/self/status').read_text().split('VmHWM:')[1]
print(used.ru_utime + used.ru_stime, status.split()[0])
"""
SIMULATED_SECONDS = 6.0
KB_PER_MB = 1024
MS_PER_SECOND = 1000


@attrs.frozen
class StartUp:
    """Processor seconds and peak memory of one process."""

    seconds: float
    peak_mb: float


def measure_start_up(script: str) -> StartUp:
    """Run ``script`` in a new interpreter."""
    completed = subprocess.run(
        [sys.executable, '-c', f'{script}\n{READ_USAGE}'],
        capture_output=True,
        text=True,
        check=True,
    )
    seconds, peak_kb = completed.stdout.split()
    return StartUp(float(seconds), float(peak_kb) / KB_PER_MB)


def print_start_up(rounds: int) -> None:
    """Print the median start-up of each program, round by round in turn."""
    measured: dict[str, list[StartUp]] = {name: [] for name in SCRIPTS_BY_NAME}
    for _ in range(rounds):
        for name, script in SCRIPTS_BY_NAME.items():
            measured[name].append(measure_start_up(script))
    libraries = median(each.seconds for each in measured['libraries'])
    for name, starts in measured.items():
        seconds = median(each.seconds for each in starts)
        peak_mb = median(each.peak_mb for each in starts)
        print(
            f'{name:13} {seconds:.3f} s  {seconds / libraries:.2f} of the '
            f'libraries  {peak_mb:.1f} MB',
        )


def scale_deployment(workers: int) -> Deployment:
    """Return the largest deployment, with jobs in proportion to workers."""
    largest = max(DEPLOYMENTS, key=lambda each: each.workers)
    share = workers / largest.workers
    return attrs.evolve(
        largest,
        name=str(workers),
        workers=workers,
        lasting_jobs=max(round(largest.lasting_jobs * share), 1),
        quick_rate=largest.quick_rate * share,
        filling_rate=largest.filling_rate * share,
    )


class TimedSimulation(Simulation):
    """Simulation that measures the time of its plans."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Create the workers; nothing is measured yet."""
        super().__init__(deployment, seed)
        self.planning_seconds = 0.0
        self.starts = 0

    def _plan(self) -> None:
        began = time.process_time()
        super()._plan()
        self.planning_seconds += time.process_time() - began

    def _start_run(self, task: object) -> None:
        super()._start_run(task)
        self.starts += 1


def print_planning(workers: int, seed: int) -> None:
    """Print the cost of planning for one size of the fleet."""
    simulation = TimedSimulation(scale_deployment(workers), seed)
    simulation.simulate(SIMULATED_SECONDS)
    per_start = simulation.planning_seconds / max(simulation.starts, 1)
    print(
        f'{workers:4} workers  {simulation.starts} starts  '
        f'{per_start * MS_PER_SECOND:.2f} ms of planning a start',
    )


def main() -> None:
    """Measure start-up and planning."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--workers', default='11,73,160')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    print_start_up(options.rounds)
    for workers in options.workers.split(','):
        print_planning(int(workers), options.seed)


if __name__ == '__main__':
    main()

"""Compare placement with simple baselines, and with parts of it disabled.

Run ``python -m benchmarks.placement`` (deployments and ablations),
``python -m benchmarks.placement cpu`` (planning time at three sizes), or
``python -m benchmarks.placement target`` (800 workers, 61 arrivals a second).
"""

import json
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any, final

import attrs

from benchmarks.placement_fake import SERVICE, FakeCluster, percentile
from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.kinds import AttemptState, Kind, TaskState
from wasabiturn.messages.session import AttemptReport, Heartbeat, Orders
from wasabiturn.messages.state import Capacity, JobSpec, TaskSpec
from wasabiturn.version.placement import choice, starts
from wasabiturn.version.placement.capacity import dominant_share, subtract
from wasabiturn.version.placement.heartbeats import (
    evaluate_reports,
    register_worker,
)
from wasabiturn.version.placement.learning import learn_from_heartbeat
from wasabiturn.version.placement.orders import list_orders
from wasabiturn.version.placement.settings import (
    PlacementSettings,
    parse_placement_settings,
)
from wasabiturn.version.placement.table import create_table

SEEDS = (1, 2, 3, 4, 5)
SESSION_SECONDS = 2400
OUT_FROM_SECOND = 900
OUT_UNTIL_SECOND = 1500
MAX_PROCESSES = 6
_EXAMPLES = Path(__file__).parent.parent / 'examples'
TASK_KINDS = ('convert', 'render', 'plot', 'index')


@final
@attrs.frozen
class Shape:
    """Size and load of one simulated deployment."""

    name: str
    data_centres: int
    workers: int
    capacity: Capacity
    replica: Capacity
    arrivals_per_second: float
    large_cores: float


SHAPES = (
    Shape(
        'letreria',
        3,
        11,
        Capacity(32, 125_000, 0),
        Capacity(8, 16_000, 0),
        0.5,
        24,
    ),
    Shape(
        'neba',
        4,
        11,
        Capacity(16, 62_500, 0),
        Capacity(4, 8_000, 0),
        0.25,
        12,
    ),
)
TARGET = Shape(
    'target',
    12,
    800,
    Capacity(16, 64_000, 2),
    Capacity(2, 4_000, 0),
    30,
    12,
)


def first_fit(table: Any, request: Any, worker_pool: Any) -> Any:
    """Choose the first worker with enough free capacity."""
    return _first(table, request, worker_pool, worker_pool.workers)


def best_fit(table: Any, request: Any, worker_pool: Any) -> Any:
    """Choose the fullest worker with enough free capacity."""
    ordered = sorted(
        worker_pool.workers,
        key=lambda worker: dominant_share(
            subtract(worker.free, request.size), worker.capacity
        ),
    )
    return _first(table, request, worker_pool, ordered)


def choose_at_random(table: Any, request: Any, worker_pool: Any) -> Any:
    """Choose a random worker with enough free capacity."""
    ordered = list(worker_pool.workers)
    _random.shuffle(ordered)
    return _first(table, request, worker_pool, ordered)


def _first(table: Any, request: Any, worker_pool: Any, ordered: Any) -> Any:
    for worker in ordered:
        if choice.has_room(worker, request.size):
            return choice.Choice(worker=worker, cost=0, candidates=1)
    return None


def _read_profile(name: str) -> dict[str, str]:
    text = (_EXAMPLES / f'placement-{name}.json').read_text()
    settings: dict[str, str] = json.loads(text)['spec']['settings']
    return settings


_random = Random(0)
LETRERIA = _read_profile('letreria')
NEBA = _read_profile('neba')
_NO_RELIEF = MappingProxyType({'suffering_seconds': '1000000'})
_PLAIN = MappingProxyType(
    {**_NO_RELIEF, 'reservations': '0'},
)
POLICIES = MappingProxyType(
    {
        'full': (choice.choose_worker, {}),
        'first fit': (first_fit, _PLAIN),
        'best fit': (best_fit, _PLAIN),
        'random': (choose_at_random, _PLAIN),
        'blind': (choice.choose_worker, {'interference_weight': '0'}),
        'blind, no relief': (
            choice.choose_worker,
            {'interference_weight': '0', 'suffering_seconds': '1000000'},
        ),
        'letreria profile': (choice.choose_worker, LETRERIA),
        'neba profile': (choice.choose_worker, NEBA),
        'no relief': (choice.choose_worker, _NO_RELIEF),
        'evict, no throttle': (choice.choose_worker, {'throttle_floor': '1'}),
        'no reservations': (choice.choose_worker, {'reservations': '0'}),
    }
)


def run_session(
    shape: Shape,
    policy: str,
    seed: int,
    seconds: int = SESSION_SECONDS,
) -> dict[str, float]:
    """Simulate one session and return its results."""
    chooser, settings = POLICIES[policy]
    starts.choose_worker = chooser  # type: ignore[assignment]
    _random.seed(seed)
    random = Random(seed)
    cluster = _create_cluster(shape, random)
    cluster.table.settings = parse_placement_settings(dict(settings)).ok
    arrivals = _Arrivals(shape, random)
    for second in range(seconds):
        if second == OUT_FROM_SECOND:
            cluster.set_out('dc-0', is_out=True)
        elif second == OUT_UNTIL_SECOND:
            cluster.set_out('dc-0', is_out=False)
        arrivals.arrive(cluster)
        cluster.step(time.process_time)
    return _summarize(cluster)


def _create_cluster(shape: Shape, random: Random) -> FakeCluster:
    workers = {
        f'w{number}': f'dc-{number % shape.data_centres}'
        for number in range(shape.workers)
    }
    slowdown_by_kinds = {
        (slowed, slowing): random.choice((0.0, 0.02, 0.1))
        for slowed in TASK_KINDS
        for slowing in TASK_KINDS
    }
    service_slowdowns = [0.0, 0.03, 0.15, 0.35]
    random.shuffle(service_slowdowns)
    for noisy, slowdown in zip(TASK_KINDS, service_slowdowns, strict=True):
        slowdown_by_kinds[SERVICE, noisy] = slowdown
        slowdown_by_kinds[noisy, SERVICE] = 0.1
    cluster = FakeCluster(workers, shape.capacity, slowdown_by_kinds, random)
    cluster.size_ratios = {
        kind: random.choice((0.6, 1, 1.2)) for kind in TASK_KINDS
    }
    cluster.put_service(shape.workers, shape.replica)
    return cluster


@final
class _Arrivals:
    """Jobs that arrive at random and declare inaccurate run times."""

    def __init__(self, shape: Shape, random: Random) -> None:
        self._shape = shape
        self._random = random
        self._count = 0
        self._true_to_declared = {
            known: random.choice((0.2, 0.5, 1, 3)) for known in TASK_KINDS
        }

    def arrive(self, cluster: FakeCluster) -> None:
        """Declare the jobs that arrive in one second."""
        expected = self._shape.arrivals_per_second
        while self._random.random() < expected / (1 + expected):
            self._put(cluster, 'batch', self._random.choice((1, 2, 4)))
        if self._random.random() < 1 / 150:
            self._put(cluster, 'large', self._shape.large_cores)
        if self._random.random() < 1 / 100:
            self._put(cluster, 'urgent', 4)

    def _put(self, cluster: FakeCluster, label: str, cores: float) -> None:
        self._count += 1
        drawn_kind = self._random.choice(TASK_KINDS)
        work_seconds = self._random.lognormvariate(4.6, 0.7)
        spec = JobSpec(
            tasks=1,
            size=Capacity(cores, int(cores * 2000), 0),
            run_seconds=work_seconds / self._true_to_declared[drawn_kind],
            urgent=label == 'urgent',
            idempotent=True,
            task_kind=drawn_kind,
        )
        cluster.put_job(f'job-{self._count}', spec, work_seconds, label)


def _summarize(cluster: FakeCluster) -> dict[str, float]:
    measures = cluster.measures
    return {
        'slowdown_p50': percentile(measures.slowdowns, 0.5),
        'slowdown_p99': percentile(measures.slowdowns, 0.99),
        'work': measures.finished_work / 3600,
        'work_while_out': measures.work_while_out / 3600,
        'evictions': measures.evictions,
        'urgent_max': max(measures.urgent_delays, default=0),
        'large_mean': statistics.fmean(measures.large_delays or [0]),
        'wait_mean': statistics.fmean(measures.delays or [0]),
        'waiting': len(cluster.table.queue),
    }


def _run(arguments: tuple[Any, ...]) -> dict[str, float]:
    return run_session(*arguments)


def compare() -> None:
    """Print the mean and standard deviation of each result over the seeds."""
    cases = list(product(SHAPES, POLICIES, SEEDS))
    with ProcessPoolExecutor(max_workers=MAX_PROCESSES) as pool:
        results = list(pool.map(_run, cases))
    for shape in SHAPES:
        for policy in POLICIES:
            found = [
                result
                for case, result in zip(cases, results, strict=True)
                if case[:2] == (shape, policy)
            ]
            print(f'{shape.name:9} {policy:19}', _describe(found))
    for (shape, policy, seed), result in zip(cases, results, strict=True):
        raw = {'shape': shape.name, 'policy': policy, 'seed': seed, **result}
        print(json.dumps(raw))


def compare_target(seconds: int = 180) -> None:
    """Print the same for the target size, starting with an empty cluster."""
    policies = ('full', 'letreria profile', 'first fit', 'random')
    shape = attrs.evolve(TARGET, arrivals_per_second=61)
    for policy in policies:
        runs = [(shape, policy, seed, seconds) for seed in SEEDS]
        with ProcessPoolExecutor(max_workers=len(SEEDS)) as pool:
            found = list(pool.map(_run, runs))
        print(f'{shape.name:9} {policy:19}', _describe(found))


def _describe(found: list[dict[str, float]]) -> str:
    parts = []
    for key in found[0]:
        values = [result[key] for result in found]
        mean = statistics.fmean(values)
        spread = statistics.stdev(values)
        parts.append(f'{key} {mean:.3g}±{spread:.2g}')
    return '  '.join(parts)


def measure_cpu() -> None:
    """Print the CPU time of planning at three sizes."""
    for count, seconds in ((11, 300), (100, 300), (800, 120)):
        shape = attrs.evolve(
            TARGET,
            workers=count,
            arrivals_per_second=61 * count / 800,
        )
        began = time.process_time()
        cluster = _run_full_policy(shape, seconds)
        steps = cluster.measures.plan_seconds[30:]
        share = sum(steps) / len(steps)
        print(
            f'{count} workers: {cluster.measures.starts} starts, '
            f'{len(cluster.table.specs_by_task)} live tasks, '
            f'plan CPU {share * 1000:.2f} ms a second of the loop, '
            f'p99 {percentile(steps, 0.99) * 1000:.2f} ms, '
            f'{sum(steps) / max(cluster.measures.starts, 1) * 1e6:.0f} '
            'us a start; '
            f'fake and planning together {time.process_time() - began:.1f} s',
        )


def _run_full_policy(shape: Shape, seconds: int) -> FakeCluster:
    starts.choose_worker = choice.choose_worker
    random = Random(1)
    cluster = _create_cluster(shape, random)
    cluster.table.settings = PlacementSettings()
    arrivals = _Arrivals(shape, random)
    for _ in range(seconds):
        arrivals.arrive(cluster)
        cluster.step(time.process_time)
    return cluster


def measure_heartbeats(tasks: int = 10, heartbeat_count: int = 2000) -> None:
    """Print the CPU time of handling one heartbeat and its response."""
    table = create_table(0, {})
    reports = []
    for number in range(tasks):
        name = f'job-{number}.0'
        spec = TaskSpec(
            owner_kind=Kind.job,
            owner=f'job-{number}',
            state=TaskState.running,
            attempt=1,
            worker='w1',
            incarnation='1',
            task_kind='convert',
        )
        table.put_task(name, spec)
        running = AttemptState.running
        reports.append(AttemptReport(task=name, attempt=1, state=running))
    heartbeat = Heartbeat(agent='w1', incarnation='1', attempts=reports)
    began = time.process_time()
    for sequence in range(heartbeat_count):
        heartbeat.sequence = sequence
        received = unpack(Heartbeat, pack(heartbeat))
        worker = register_worker(table, received, sequence).ok
        learn_from_heartbeat(table, worker, received, sequence)
        evaluate_reports(table, worker, received.attempts, sequence)
        pack(Orders(orders=list_orders(table, worker, (), sequence)))
    each = (time.process_time() - began) / heartbeat_count
    print(f'heartbeat with {tasks} tasks, packed and unpacked:', end=' ')
    print(f'{each * 1e6:.0f} us; {len(pack(heartbeat))} bytes')


if __name__ == '__main__':
    if sys.argv[1:] == ['cpu']:
        measure_heartbeats()
        measure_cpu()
    elif sys.argv[1:] == ['target']:
        compare_target()
    else:
        compare()

"""Compare rules of how long tasks wait for their rack.

``python -m benchmarks.queues.compare_waits [--seconds S] [--seeds N]
[--rate R] [--workers N]``

Prints the share of jobs in time for each load and rule. ``today`` is the
product without the feature; ``none`` tries the rack first and never waits;
``fixed`` waits for one second; ``expected`` is the product's decision.
"""

import argparse
import multiprocessing
from itertools import product
from typing import final

import attrs

from benchmarks.queues.deployments import FILLING, QUICK, Deployment
from benchmarks.queues.racks import Policy, RackOptions, RackSimulation
from benchmarks.queues.simulation import Score
from wasabiturn.batch.placing.locality.state import (
    WaitDecision,
    WaitInputs,
    WaitOutcome,
)

FIXED_WAIT_SECONDS = 1.0
PROCESSES = 2


def decide_none(inputs: WaitInputs) -> WaitDecision:
    """Never wait."""
    return WaitDecision(0, WaitOutcome.not_worth)


def decide_fixed(inputs: WaitInputs) -> WaitDecision:
    """Wait for a fixed time, whatever is expected."""
    if inputs.has_rack and inputs.waited_seconds < FIXED_WAIT_SECONDS:
        return WaitDecision(inputs.tasks, WaitOutcome.near)
    return WaitDecision(0, WaitOutcome.limit)


POLICIES = (
    Policy(name='today', is_aware=False),
    Policy(name='none', decide=decide_none),
    Policy(name='fixed', decide=decide_fixed),
    Policy(name='expected'),
)


@final
@attrs.frozen
class Load:
    """One load: a factor on the rates of jobs, and how racks are used."""

    name: str
    rate: float
    options: RackOptions


LOADS = (
    Load(name='calm', rate=0.5, options=RackOptions()),
    Load(name='busy', rate=1.0, options=RackOptions()),
    Load(name='hot rack', rate=0.8, options=RackOptions(hot_share=0.6)),
)
BASE = Deployment(
    name='racks',
    workers=70,
    millicores=16_000,
    memory_mb=64_000,
    lasting_jobs=23,
    lasting_tasks=14,
    lasting_millicores=3200,
    quick_rate=5.8,
    quick_tasks=10,
    quick_millicores=370,
    filling_rate=1.5,
    filling_tasks=20,
    filling_millicores=1800,
    lasting_images=10,
    filling_images=18,
    heavy_share=0.55,
)


def simulate_case(case: tuple[Load, Policy, int, float]) -> Score:
    """Simulate a load with one rule and one seed."""
    load, policy, seed, seconds = case
    deployment = attrs.evolve(
        BASE,
        quick_rate=BASE.quick_rate * load.rate,
        filling_rate=BASE.filling_rate * load.rate,
    )
    simulation = RackSimulation(deployment, load.options, policy, seed)
    return simulation.simulate(seconds)


def describe(scores: list[Score]) -> str:
    """Return the shares of jobs in time, of all queues and of each."""
    parts = [f'all {_share(scores, (QUICK, FILLING)):.3f}']
    for queue in (QUICK, FILLING):
        parts.append(f'{queue} {_share(scores, (queue,)):.3f}')
    lasting = sum(score.lasting_seconds for score in scores)
    harmed = sum(score.over_goal_seconds for score in scores)
    return '  '.join([*parts, f'harmed {harmed / lasting:.4f}'])


def _share(scores: list[Score], queues: tuple[str, ...]) -> float:
    submitted = 0
    in_time = 0
    for score, queue in product(scores, queues):
        submitted += score.submitted.get(queue, 0)
        in_time += score.in_time.get(queue, 0)
    return in_time / max(submitted, 1)


def main() -> None:
    """Simulate every load with every rule and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=24)
    parser.add_argument('--seeds', type=int, default=6)
    parser.add_argument('--only', help='name of one load')
    options = parser.parse_args()
    for load, policy in product(LOADS, POLICIES):
        if options.only not in {None, load.name}:
            continue
        cases = product(
            [load], [policy], range(options.seeds), [options.seconds]
        )
        with multiprocessing.Pool(PROCESSES) as pool:
            scores = pool.map(simulate_case, cases)
        print(f'{load.name:9} {policy.name:9} {describe(scores)}', flush=True)


if __name__ == '__main__':
    main()

"""Print the share of jobs done in time, one line for each deployment.

``python -m benchmarks.queues [--seconds S] [--seeds N] [--only NAME]
[--bounds]``
"""

import argparse
import multiprocessing
from itertools import product

import attrs

from benchmarks.queues.deployments import (
    CROWDED_DEPLOYMENTS,
    DEPLOYMENTS,
    Deployment,
    Knowledge,
)
from benchmarks.queues.simulation import FILLING, QUICK, Score, Simulation


def simulate_case(case: tuple[Deployment, int, float]) -> Score:
    """Simulate a deployment with one seed."""
    deployment, seed, seconds = case
    return Simulation(deployment, seed).simulate(seconds)


def main() -> None:
    """Simulate every deployment with every seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=34)
    parser.add_argument('--seeds', type=int, default=12)
    parser.add_argument('--only', help='name of one deployment')
    parser.add_argument(
        '--bounds',
        action='store_true',
        help='add variants that know the truth, or have no interference',
    )
    options = parser.parse_args()
    for deployment in DEPLOYMENTS + CROWDED_DEPLOYMENTS:
        if options.only not in {None, deployment.name}:
            continue
        variants = [deployment]
        if options.bounds:
            variants.extend(create_bounds(deployment))
        for variant in variants:
            cases = product([variant], range(options.seeds), [options.seconds])
            with multiprocessing.Pool(2) as pool:
                scores = pool.map(simulate_case, cases)
            print(f'{variant.name:24} {describe(scores)}', flush=True)


def create_bounds(deployment: Deployment) -> list[Deployment]:
    """Return variants that each lack one cause of late jobs."""
    known = attrs.evolve(
        deployment,
        name=f'{deployment.name} known',
        knowledge=Knowledge.known,
        estimate_error=0.0,
    )
    alone = attrs.evolve(
        known,
        name=f'{deployment.name} undisturbed',
        heavy_pressure=0.0,
        light_pressure=0.0,
    )
    doubled = attrs.evolve(
        deployment,
        name=f'{deployment.name} doubled',
        workers=2 * deployment.workers,
    )
    return [known, alone, doubled]


def describe(scores: list[Score]) -> str:
    """Return shares in time and late, and time over goals, of all seeds."""
    parts: list[str] = []
    for queue in (QUICK, FILLING):
        submitted = sum(score.submitted.get(queue, 0) for score in scores)
        in_time = sum(score.in_time.get(queue, 0) for score in scores)
        late = sum(score.late.get(queue, 0) for score in scores)
        parts.append(f'{queue}: in time {in_time / submitted:.3f}')
        parts.append(f'late {late / submitted:.3f}')
    lasting = sum(score.lasting_seconds for score in scores)
    harmed = sum(score.over_goal_seconds for score in scores)
    return '  '.join([*parts, f'harmed {harmed / lasting:.4f}'])


if __name__ == '__main__':
    main()

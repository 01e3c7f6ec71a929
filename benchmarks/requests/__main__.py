"""Print the tail latency and goodput of each policy, one line for each case.

``python -m benchmarks.requests [--seconds S] [--seeds N] [--processes P]``
"""

import argparse
import itertools
import multiprocessing

import attrs

from benchmarks.requests.deployments import (
    DEPLOYMENTS,
    SCENARIOS,
    Deployment,
    Scenario,
)
from benchmarks.requests.model import Model
from benchmarks.requests.policies import POLICIES, Policy

# Offered loads as shares of the capacity.
LOADS = (0.5, 0.8, 0.95, 1.3)
PERCENTILES = (50, 99, 99.9)


@attrs.frozen
class Case:
    """One policy in one deployment and scenario, under one load."""

    deployment: Deployment
    scenario: Scenario
    load: float
    policy: Policy
    seconds: float
    seeds: int


def run_case(case: Case) -> str:
    """Run a case with all seeds; return its line of results."""
    runs = [
        Model(case.deployment, case.scenario, case.policy, seed).run(
            case.load,
            case.seconds,
        )
        for seed in range(case.seeds)
    ]
    total = runs[0].histogram
    for other in runs[1:]:
        total.add(other.histogram)
    offered = sum(each.offered for each in runs)
    times = '  '.join(
        f'p{each} {total.get_value_at_percentile(each) / 1000:7.1f}'
        for each in PERCENTILES
    )
    shares = '  '.join(
        f'{name} {sum(getattr(each, name) for each in runs) / offered:7.2%}'
        for name in ('answered', 'not_run', 'unknown', 'attempts')
    )
    title = f'{case.deployment.name:9}{case.scenario.name:12}{case.load:5.0%} '
    return f'{title}{case.policy.name:26}{times} ms  {shares}'


def main() -> None:
    """Run every case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=4)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--processes', type=int, default=4)
    options = parser.parse_args()
    cases = [
        Case(*case, options.seconds, options.seeds)
        for case in itertools.product(DEPLOYMENTS, SCENARIOS, LOADS, POLICIES)
    ]
    with multiprocessing.Pool(options.processes) as pool:
        for line in pool.imap(run_case, cases):
            print(line, flush=True)


if __name__ == '__main__':
    main()

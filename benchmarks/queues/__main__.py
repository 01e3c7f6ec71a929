"""Print the share of jobs done in time, one line for each deployment.

``python -m benchmarks.queues [--seconds S] [--seeds N]``
"""

import argparse
import multiprocessing
from itertools import product

from benchmarks.queues.shapes import SHAPES, Shape
from benchmarks.queues.world import FILLING, QUICK, Score, World


def simulate_case(case: tuple[Shape, int, float]) -> Score:
    """Simulate a deployment with one seed."""
    shape, seed, seconds = case
    return World(shape, seed).play(seconds)


def main() -> None:
    """Simulate every deployment with every seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=34)
    parser.add_argument('--seeds', type=int, default=12)
    options = parser.parse_args()
    for shape in SHAPES:
        cases = product([shape], range(options.seeds), [options.seconds])
        with multiprocessing.Pool(2) as pool:
            scores = pool.map(simulate_case, cases)
        print(f'{shape.name:8} {describe(scores)}')


def describe(scores: list[Score]) -> str:
    """Return shares in time and late, and time over goals, of all seeds."""
    parts: list[str] = []
    for queue in (QUICK, FILLING):
        owed = sum(score.owed.get(queue, 0) for score in scores)
        in_time = sum(score.in_time.get(queue, 0) for score in scores)
        late = sum(score.late.get(queue, 0) for score in scores)
        parts.append(f'{queue}: in time {in_time / owed:.3f}')
        parts.append(f'late {late / owed:.3f}')
    lasting = sum(score.lasting_seconds for score in scores)
    harmed = sum(score.harmed_seconds for score in scores)
    return '  '.join([*parts, f'harmed {harmed / lasting:.4f}'])


if __name__ == '__main__':
    main()

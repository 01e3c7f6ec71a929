"""Search many seeds for a broken consensus invariant; longer than in CI.

``python -m benchmarks.raft_search FIRST_SEED COUNT`` prints the seeds that
break an invariant. To repeat one, pass its seed and a count of 1.
"""

import sys
import time
from collections import Counter

from tests.version.raft.cluster import run_random_faults

EPISODES = 20
SMALL, LARGE = 3, 5


def main() -> None:
    """Run all seeds, and print failures and what the runs covered."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    started = time.perf_counter()
    totals: Counter[str] = Counter()
    broken = 0
    for seed in range(first, first + count):
        try:
            cluster = run_random_faults(
                seed, SMALL if seed % 2 else LARGE, EPISODES
            )
        except Exception as error:
            broken += 1
            print(f'seed {seed}: {type(error).__name__}: {error}', flush=True)
            continue
        totals['commits'] += len(cluster.entry_by_index)
        totals['terms with a leader'] += len(cluster.leader_by_term)
        totals['lost disks'] += sum(
            machine.disk.incarnation - 1 for machine in cluster.machines
        )
        totals['virtual seconds'] += round(cluster.time)
    print(f'seeds {first} to {first + count - 1}: {broken} broken')
    for label, number in totals.items():
        print(f'{number} {label}')
    print(f'{time.perf_counter() - started:.0f} s')


if __name__ == '__main__':
    main()

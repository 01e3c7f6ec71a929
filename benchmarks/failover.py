"""Measure the time without a leader after ``kill -9`` of the leader.

Repeated over many kills. The time runs from the kill to the first write that
another member commits, as seen by a client that polls the others continuously.
``python -m benchmarks.failover 40 planned`` stops it by SIGTERM instead.
"""

import sys
import time

from benchmarks.control_group import ControlGroup, run_benchmark, sleep
from benchmarks.soak.programs import Program

KILLS = 40
SETTLE_SECONDS = 2.5


async def measure(group: ControlGroup) -> None:
    """Print the time without a leader for each kill, and its distribution."""
    kills = int(sys.argv[1]) if len(sys.argv) > 1 else KILLS
    planned = sys.argv[2:] == ['planned']
    gaps = []
    leader = await group.find_leader()
    for _ in range(kills):
        await sleep(group.reactor, SETTLE_SECONDS)
        program = group.programs_by_name[leader]
        killed_at = time.perf_counter()
        _stop(program, planned)
        leader = await group.find_leader(excluded=leader)
        gaps.append(time.perf_counter() - killed_at)
        print(f'{gaps[-1]:.3f} s', flush=True)
        program.wait()
        program.start()
    gaps.sort()
    print(
        f'{kills} stops: min {gaps[0]:.3f} s, '
        f'median {gaps[len(gaps) // 2]:.3f} s, '
        f'p90 {gaps[int(len(gaps) * 0.9)]:.3f} s, max {gaps[-1]:.3f} s',
    )


def _stop(program: Program, planned: bool) -> None:
    if planned:
        program.terminate()
    else:
        program.kill()


if __name__ == '__main__':
    run_benchmark(measure)

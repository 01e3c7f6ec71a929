"""Commits per second and latency with fsync, by number of writers.

Run ``python -m benchmarks.commits`` and, for one save a submit,
``python -m benchmarks.commits unbatched``.
"""

import sys
import time
from functools import partial
from typing import Any

from twisted.internet.defer import ensureDeferred, gatherResults

from benchmarks.control_group import (
    ControlGroup,
    put_command,
    run_benchmark,
    sleep,
)
from wasabiturn.version.storage.records import decode_records

SECONDS = 6.0
SETTLE_SECONDS = 1.0
ANSWER_SECONDS = 10.0
WRITERS = (1, 10, 100)


async def measure(group: ControlGroup) -> None:
    """Print one line for each number of writers, and one for idle."""
    leader = await group.find_leader()
    await sleep(group.reactor, SETTLE_SECONDS)
    await _measure_idle(group, leader)
    for writers in WRITERS:
        await _measure_writers(group, leader, writers)


async def _measure_idle(group: ControlGroup, leader: str) -> None:
    before = group.cpu_seconds()
    await sleep(group.reactor, SECONDS)
    after = group.cpu_seconds()
    memory = group.resident_mb()
    for name in sorted(before):
        share = (after[name] - before[name]) / SECONDS
        role = 'leader' if name == leader else 'follower'
        print(f'idle {role}: {share:.2%} of a core, {memory[name]:.0f} MB')


async def _measure_writers(
    group: ControlGroup,
    leader: str,
    writers: int,
) -> None:
    latencies: list[float] = []
    records = _count_records(group, leader)
    cpu = group.cpu_seconds()
    resident = group.resident_mb()[leader]
    started = time.perf_counter()
    end = started + SECONDS
    await gatherResults(
        [
            ensureDeferred(_write(group, leader, number, end, latencies))
            for number in range(writers)
        ],
    )
    elapsed = time.perf_counter() - started
    used = group.cpu_seconds()
    grown = group.resident_mb()[leader] - resident
    saves = _count_records(group, leader) - records
    latencies.sort()
    count = len(latencies)
    followers = [name for name in used if name != leader]
    follower = sum(used[name] - cpu[name] for name in followers) / 2
    print(
        f'{writers:4} writers: {count / elapsed:7.0f} commits/s, '
        f'p50 {_quantile(latencies, 0.5):6.2f} ms, '
        f'p99 {_quantile(latencies, 0.99):6.2f} ms, '
        f'max {latencies[-1] * 1000:6.1f} ms, '
        f'{count / saves:5.1f} commits/fsync, CPU per commit: '
        f'leader {(used[leader] - cpu[leader]) / count * 1e6:4.0f} us, '
        f'follower {follower / count * 1e6:4.0f} us, '
        f'leader memory {grown * 2**20 / count:5.0f} bytes per commit',
        flush=True,
    )


async def _write(
    group: ControlGroup,
    leader: str,
    number: int,
    end: float,
    latencies: list[float],
) -> None:
    while time.perf_counter() < end:
        begun = time.perf_counter()
        command = put_command(f'settings-{number}')
        await group.submit(leader, command, ANSWER_SECONDS)
        latencies.append(time.perf_counter() - begun)


def _count_records(group: ControlGroup, name: str) -> int:
    """Count the saves that are in the log; none is removed meanwhile."""
    return sum(
        sum(1 for _ in decode_records(path.read_bytes()))
        for path in (group.folder / name).glob('log-*')
    )


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[int(len(ordered) * share)] * 1000


def main() -> None:
    """Measure with the variant that the command line names."""
    run: Any = partial(run_benchmark, measure, snapshot_entries=10_000_000)
    if sys.argv[1:] == ['unbatched']:
        print('one save for each submit and message')
        run(module=('-m', 'benchmarks.unbatched_control'))
    else:
        print('one save for each turn of the loop')
        run()


if __name__ == '__main__':
    main()

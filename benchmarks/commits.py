"""Measure commits per second and their latency by number of writers.

Members save with fsync. Run ``python -m benchmarks.commits``, or ``python -m
benchmarks.commits unbatched`` to save after each submit.
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

MEASURED_SECONDS = 6.0
SETTLE_SECONDS = 1.0
SUBMIT_TIMEOUT_SECONDS = 10.0
WRITERS = (1, 10, 100)


async def measure(group: ControlGroup) -> None:
    """Print the costs of idle members, then a line per number of writers."""
    leader = await group.find_leader()
    await sleep(group.reactor, SETTLE_SECONDS)
    await _measure_idle(group, leader)
    for writers in WRITERS:
        await _measure_writers(group, leader, writers)


async def _measure_idle(group: ControlGroup, leader: str) -> None:
    before = group.cpu_seconds()
    await sleep(group.reactor, MEASURED_SECONDS)
    after = group.cpu_seconds()
    memory = group.resident_mb()
    for name in sorted(before):
        share = (after[name] - before[name]) / MEASURED_SECONDS
        role = 'leader' if name == leader else 'follower'
        print(f'idle {role}: {share:.2%} of a core, {memory[name]:.0f} MB')


async def _measure_writers(
    group: ControlGroup,
    leader: str,
    writers: int,
) -> None:
    latencies: list[float] = []
    records_before = _count_records(group, leader)
    before_cpu = group.cpu_seconds()
    resident_before = group.resident_mb()[leader]
    started = time.perf_counter()
    end = started + MEASURED_SECONDS
    await gatherResults(
        [
            ensureDeferred(_write(group, leader, number, end, latencies))
            for number in range(writers)
        ],
    )
    elapsed = time.perf_counter() - started
    cpu = group.cpu_seconds()
    grown_mb = group.resident_mb()[leader] - resident_before
    saves = _count_records(group, leader) - records_before
    latencies.sort()
    count = len(latencies)
    followers = [name for name in cpu if name != leader]
    follower_cpu = sum(cpu[name] - before_cpu[name] for name in followers) / 2
    print(
        f'{writers:4} writers: {count / elapsed:7.0f} commits/s, '
        f'p50 {_quantile_ms(latencies, 0.5):6.2f} ms, '
        f'p99 {_quantile_ms(latencies, 0.99):6.2f} ms, '
        f'max {latencies[-1] * 1000:6.1f} ms, '
        f'{count / saves:5.1f} commits/fsync, CPU per commit: '
        f'leader {(cpu[leader] - before_cpu[leader]) / count * 1e6:4.0f} us, '
        f'follower {follower_cpu / count * 1e6:4.0f} us, '
        f'leader memory {grown_mb * 2**20 / count:5.0f} bytes per commit',
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
        submitted_at = time.perf_counter()
        command = put_command(f'settings-{number}')
        await group.submit(leader, command, SUBMIT_TIMEOUT_SECONDS)
        latencies.append(time.perf_counter() - submitted_at)


def _count_records(group: ControlGroup, name: str) -> int:
    """Return the number of saves in the log, which only grows here."""
    return sum(
        sum(1 for _ in decode_records(path.read_bytes()))
        for path in (group.folder / name).glob('log-*')
    )


def _quantile_ms(ordered: list[float], share: float) -> float:
    return ordered[int(len(ordered) * share)] * 1000


def main() -> None:
    """Measure with or without batching, as the command line says."""
    run: Any = partial(run_benchmark, measure, snapshot_entries=10_000_000)
    if sys.argv[1:] == ['unbatched']:
        print('one save for each submit and message')
        run(module=('-m', 'benchmarks.unbatched_control'))
    else:
        print('one save for each turn of the loop')
        run()


if __name__ == '__main__':
    main()

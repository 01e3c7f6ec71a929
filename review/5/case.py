"""A plan that is cut midway starts a part of a gang, which ends alone."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness'))

from cases import Bench, run_case  # noqa: E402
from deployment import TROUBLE, Deployment, Record  # noqa: E402

WORKERS = 4
# Tasks of an ordinary step, and members of the gang beside it.
WIDTH = 160 if TROUBLE else 100
MEMBERS = 60
# Members of a gang by itself.
LARGE_GANG = 220 if TROUBLE else 180
WATCHED_SECONDS = 30.0


async def play(record: Record) -> list[str]:
    """Play the case."""
    bench = Bench(Deployment(record), record)
    try:
        bench.add_edges([True, True, True])
        bench.add_workers(WORKERS)
        await bench.start()
        # Both take a small part of 16 cores.
        task = {'cpu': 10, 'mem_mb': 10, 'est_ms': 1000}
        beside = [
            {**task, 'count': 1},
            {**task, 'count': WIDTH, 'after': [0]},
            {**task, 'count': MEMBERS, 'after': [0], 'gang': True},
        ]
        found = await _watch(bench, record, beside, {'2': MEMBERS})
        alone = [{**task, 'count': LARGE_GANG, 'gang': True}]
        found += await _watch(bench, record, alone, {'0': LARGE_GANG})
        await asyncio.sleep(0)
        return found
    finally:
        await bench.close()


async def _watch(
    bench: Bench, record: Record, steps: list, gangs: dict[str, int]
) -> list[str]:
    """Submit a job with a gang; return what breaks the rule."""
    before = len(record.events)
    job = await bench.client.submit(steps, {'ms': 1000, 'gangs': gangs})
    state = await bench.client.wait_until_done(job, WATCHED_SECONDS)
    alone = [
        figures
        for _, word, figures in record.events[before:]
        if word == 'run ends' and figures['how'] == 'alone'
    ]
    sizes = [step['count'] for step in steps]
    record('job ends', steps=sizes, state=state, runs_alone=len(alone))
    if not alone:
        return []
    return [
        f'job with steps of {sizes} tasks: {len(alone)} runs of its gang ended '
        f'alone; it is {state!r} after {WATCHED_SECONDS:.0f} s at most'
    ]


if __name__ == '__main__':
    run_case(FOLDER, play)

"""A withdrawn evacuation is withdrawn again by an order of long ago."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness'))

from cases import Bench, run_case  # noqa: E402
from deployment import (  # noqa: E402
    TROUBLE,
    CaseError,
    Deployment,
    Record,
)

ZONE = 'zone-a'
FREEZE_SECONDS = 6.0
JOBS = 10


async def play(record: Record) -> list[str]:
    """Play the case."""
    bench = Bench(Deployment(record), record)
    try:
        bench.add_edges([True, True, True, False])
        bench.add_workers(3)
        await bench.start()
        return await _evacuate_twice(bench, record)
    finally:
        await bench.close()


async def _evacuate_twice(bench: Bench, record: Record) -> list[str]:
    frozen = bench.edges[3]
    others = bench.edges[:3]
    await _order(bench, 'Begin', others)
    await asyncio.sleep(2.0)
    if TROUBLE:
        bench.deployment.send_signal(frozen, signal.SIGSTOP)
    frozen_at = record.now()
    # The node that the operator picks first is the frozen one.
    await _order(bench, 'Finish', [frozen, *others])
    await asyncio.sleep(1.0)
    await _order(bench, 'Begin', others)
    acknowledged_at = record.now()
    await asyncio.sleep(frozen_at + FREEZE_SECONDS - record.now())
    if TROUBLE:
        bench.deployment.send_signal(frozen, signal.SIGCONT)
    due_at = acknowledged_at + bench.deployment.bounds['evacuate_ms'] / 1000
    await asyncio.sleep(due_at - record.now() + 1.0)
    step = {'count': 6, 'cpu': 500, 'mem_mb': 100, 'est_ms': 300}
    for _ in range(JOBS):
        await bench.client.submit([step], {'ms': 300})
        await asyncio.sleep(0.2)
    await asyncio.sleep(2.0)
    evacuated = {each.name for each in bench.workers if each.zone == ZONE}
    starts = [
        (at, figures)
        for at, word, figures in record.events
        if word == 'run starts' and at > due_at
    ]
    if not starts:
        raise CaseError('nothing was started')
    return [
        f'{figures["task"]} starts on {figures["worker"]} in {ZONE} '
        f'{at - acknowledged_at:.3f} s after its evacuation was acknowledged'
        for at, figures in starts
        if figures['worker'] in evacuated
    ]


async def _order(bench: Bench, word: str, nodes: list) -> None:
    answer = await bench.operator.send(
        'POST', f'/api/Drain.{word}/{ZONE}', nodes=nodes
    )
    if answer.status != 200:
        raise CaseError(f'{word} was not acknowledged: {answer.status}')


if __name__ == '__main__':
    run_case(FOLDER, play)

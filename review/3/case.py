"""A heartbeat of another writer arrives; the worker's runs are doubled."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness'))

from cases import Bench, run_case  # noqa: E402
from deployment import (  # noqa: E402
    TROUBLE,
    CaseError,
    Deployment,
    Record,
    find_overlaps,
)
from http_calls import call  # noqa: E402
from worker import Worker  # noqa: E402

TASKS = 6
TASK_MS = 8000


async def play(record: Record) -> list[str]:
    """Play the case."""
    bench = Bench(Deployment(record), record)
    try:
        bench.add_edges([True, True, True])
        bench.add_workers(3)
        await bench.start()
        return await _trouble(bench, record)
    finally:
        await bench.close()


async def _trouble(bench: Bench, record: Record) -> list[str]:
    step = {'count': TASKS, 'cpu': 500, 'mem_mb': 100, 'est_ms': TASK_MS}
    job = await bench.client.submit([step], {'ms': TASK_MS})
    await asyncio.sleep(2.0)
    worker = next((each for each in bench.workers if each.running), None)
    if worker is None:
        raise CaseError('no worker runs a task of the job')
    if TROUBLE:
        await _send_foreign_heartbeat(worker, record)
    state = await bench.client.wait_until_done(job, 40.0)
    record('job ends', job=job, state=state)
    return find_overlaps(record)


async def _send_foreign_heartbeat(worker: Worker, record: Record) -> None:
    """Send a heartbeat whose service no page and no configuration names."""
    content = worker.announcement()
    content['service'] = 'elsewhere'
    content['born'] = int(time.time() * 1000)
    content['seq'] = 1
    answer = await call(
        worker.agent,
        'POST',
        '/api/Instances.Heartbeat/i-ffff0001',
        content=content,
    )
    record(
        'heartbeat of another writer',
        worker='i-ffff0001',
        service='elsewhere',
        at=worker.name,
        status=answer.status,
    )


if __name__ == '__main__':
    run_case(FOLDER, play)

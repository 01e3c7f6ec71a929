"""A worker goes down and up by turns; the job that needs it is given up."""

import asyncio
import os
import sys
import time

from deployment import Deployment, run_case

JOB = '0123456789abcdef'
# Largest dose on the site: share 0.1, gap_s 1.4, for_s 6.5.
WORKERS = 10
PERIOD_SECONDS = 1.4
FLAP_SECONDS = 6.5
# The task may fail so often; no run of it ever ends ``failed`` here.
ATTEMPTS = 4
READ_SECONDS = 30


async def play(record, has_trouble):
    """Return what was broken."""
    deployment = Deployment(record, WORKERS)
    worker = deployment.workers[0]
    worker.labels = ['b', 'r1-1']
    try:
        await deployment.start(attempts=ATTEMPTS)
        await asyncio.sleep(3)
        step = {
            'count': 1,
            'cpu': 1000,
            'mem_mb': 100,
            'est_ms': 8000,
            'requires': 'b',
        }
        await deployment.submit(JOB, 8000, [step])
        await asyncio.sleep(1)
        if has_trouble:
            await flap(worker)
        return await judge(deployment, record)
    finally:
        await deployment.end()


async def flap(worker):
    """Take one worker of ten down and up, half of the period each."""
    until = time.monotonic() + FLAP_SECONDS
    while time.monotonic() < until:
        await worker.crash()
        await asyncio.sleep(PERIOD_SECONDS / 2)
        await worker.start()
        await asyncio.sleep(PERIOD_SECONDS / 2)


async def judge(deployment, record):
    """Read the job until it has ended; only ends ``failed`` are a cause."""
    state = ''
    until = time.monotonic() + READ_SECONDS
    while time.monotonic() < until and state not in {'done', 'failed'}:
        _, state = await deployment.read(JOB)
        await asyncio.sleep(1)
    failures = [
        fields
        for _, fields in record.list_events('run ends')
        if fields['how'] == 'failed'
    ]
    if state == 'failed' and len(failures) < ATTEMPTS:
        return [f'LOST: {JOB} is shown as failed; {len(failures)} runs failed']
    return []


if __name__ == '__main__':
    sys.exit(run_case(play, os.path.dirname(os.path.abspath(__file__))))

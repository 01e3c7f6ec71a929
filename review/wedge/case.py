"""A large job of small tasks takes a worker away from all other jobs.

The orders to one worker outgrow the frames between control and agent; from
then on its agent gets no answer to a report, so no lease and no starts.
"""

import asyncio
import os
import sys

from deployment import LASTING_PREFIX, Deployment, run_case

OTHER_JOB = '00000000000000aa'
LARGE_JOB = '00000000000000bb'
# PROTOCOL.md: ``spec`` is a string of up to 4,000 bytes.
PADDING_BYTES = 3900
TASKS = 9000
WATCH_SECONDS = 45
# The rule: from 6 s after the last run of a lasting task, 3 s without a run.
REST_SECONDS = 6
IDLE_SECONDS = 3


async def play(record, has_trouble):
    """Return what was broken."""
    deployment = Deployment(record, 3)
    try:
        await deployment.start()
        await asyncio.sleep(3)
        other = {
            'count': 3,
            'cpu': 1000,
            'mem_mb': 100,
            'est_ms': 1000,
            'long_running': True,
            'max_per_server': 1,
        }
        await deployment.submit(OTHER_JOB, 0, [other], LASTING_PREFIX)
        await asyncio.sleep(3)
        large = {
            'count': TASKS,
            'cpu': 1,
            'mem_mb': 1,
            'est_ms': 1000,
            'long_running': True,
        }
        padding = PADDING_BYTES if has_trouble else 0
        await deployment.submit(LARGE_JOB, 0, [large], padding=padding)
        await asyncio.sleep(WATCH_SECONDS)
        await deployment.read(OTHER_JOB, LASTING_PREFIX)
        await deployment.read(LARGE_JOB)
        record.note('watched until here')
        return find_missing(deployment, record)
    finally:
        await deployment.end()


def find_missing(deployment, record):
    """Return the tasks of the other job that do not run any more.

    All workers are up, and use less than half of their capacity.
    """
    used = sum(len(each.running) for each in deployment.workers)
    record.note('running at the end', runs=used)
    now = record.list_events('watched until here')[0][0]
    broken = []
    for index in range(3):
        task = f'{OTHER_JOB}.0.0.{index}'
        if any(
            run.task == task
            for worker in deployment.workers
            for run in worker.running.values()
        ):
            continue
        ends = [
            at
            for at, fields in record.list_events('run ends')
            if fields['task'] == task
        ]
        idle = now - max(ends)
        if idle > REST_SECONDS + IDLE_SECONDS:
            broken.append(f'LOST: {task} has not run for {idle:.1f} s')
    return broken


if __name__ == '__main__':
    sys.exit(run_case(play, os.path.dirname(os.path.abspath(__file__))))

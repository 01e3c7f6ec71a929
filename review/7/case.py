"""A worker is lost for good; what was just sent there waits for 30 seconds."""

import asyncio
import os
import sys

from deployment import LASTING_PREFIX, Deployment, run_case

WORKERS = 7
FIRST_JOB = '00000000000000cc'
LASTING_JOB = '00000000000000aa'
LASTING_TASKS = 12
BATCH_JOBS = [f'00000000000000b{number}' for number in range(9)]
WORK_MS = 3000
# The loss, and the start of the traffic's last requests after it.
GAP_SECONDS = 0.2
WATCH_SECONDS = 45
# The site's ``for_s`` of a crash; for the rule, nothing is calm before its end.
CRASH_SECONDS = 4.5
# The rule: 3 s without a run, and those and the 4 s before them are calm.
CALM_SECONDS = 4
IDLE_SECONDS = 3
# The rule for other tasks: ``finish_s`` after the end of the traffic.
FINISH_SECONDS = 14


async def play(record, has_trouble):
    """Return what was broken."""
    deployment = Deployment(record, WORKERS)
    try:
        await deployment.start()
        await asyncio.sleep(3)
        first = {
            'count': 1,
            'cpu': 1000,
            'mem_mb': 100,
            'est_ms': 1000,
            'long_running': True,
        }
        await deployment.submit(FIRST_JOB, 0, [first], LASTING_PREFIX)
        await asyncio.sleep(3)
        if has_trouble:
            lose(find_worker(deployment, record), record)
        lost_at = record.now()
        await asyncio.sleep(GAP_SECONDS)
        lasting = {
            'count': LASTING_TASKS,
            'cpu': 1000,
            'mem_mb': 100,
            'est_ms': 1000,
            'long_running': True,
            'max_per_server': 3,
        }
        await deployment.submit(LASTING_JOB, 0, [lasting], LASTING_PREFIX)
        for job in BATCH_JOBS:
            step = {
                'count': 1,
                'cpu': 1000,
                'mem_mb': 100,
                'est_ms': WORK_MS,
            }
            await deployment.submit(job, WORK_MS, [step])
        traffic_ends_at = record.now()
        await asyncio.sleep(WATCH_SECONDS)
        for job in BATCH_JOBS:
            await deployment.read(job)
        return [
            *find_late_lasting(record, lost_at),
            *find_late_jobs(record, traffic_ends_at),
        ]
    finally:
        await deployment.end()


def find_worker(deployment, record):
    """Return the worker that runs something; others are likely to join it."""
    _, begun = record.list_events('run begins')[0]
    return next(
        each for each in deployment.workers if each.name == begun['worker']
    )


def lose(worker, record):
    """Have a worker answer nothing any more, as one that is lost for good."""

    async def answer_nothing(worker, path, fields):
        record.note(
            'unanswered',
            worker=worker.name,
            path=path,
            task=fields.get('task', ''),
        )
        await asyncio.Event().wait()

    worker.intercept = answer_nothing
    for task in worker.tasks:
        task.cancel()
    record.note('worker lost for good', worker=worker.name)


def find_late_lasting(record, lost_at):
    """Return the lasting tasks that didn't run for 3 calm seconds."""
    limit = lost_at + CRASH_SECONDS + CALM_SECONDS + IDLE_SECONDS
    broken = []
    for index in range(LASTING_TASKS):
        task = f'{LASTING_JOB}.0.0.{index}'
        begun_at = find_begin(record, task)
        if begun_at > limit:
            late = begun_at - lost_at
            broken.append(f'LOST: lasting {task} first runs after {late:.1f} s')
    return broken


def find_late_jobs(record, traffic_ends_at):
    """Return the jobs that run nothing from 14 to 17 s after the traffic."""
    limit = traffic_ends_at + FINISH_SECONDS + IDLE_SECONDS
    broken = []
    for job in BATCH_JOBS:
        begun_at = find_begin(record, f'{job}.0.0.0')
        if begun_at > limit:
            late = begun_at - traffic_ends_at
            broken.append(f'LOST: job {job} first runs after {late:.1f} s')
    return broken


def find_begin(record, task):
    """Return when the first run of a task began; far ahead if none did."""
    return next(
        (
            at
            for at, fields in record.list_events('run begins')
            if fields['task'] == task
        ),
        float('inf'),
    )


if __name__ == '__main__':
    sys.exit(run_case(play, os.path.dirname(os.path.abspath(__file__))))

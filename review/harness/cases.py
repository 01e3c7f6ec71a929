"""Frame of a case: record, time limit, clean-up and exit status."""

import asyncio
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from deployment import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    CaseError,
    Client,
    Deployment,
    Machine,
    Operator,
    Record,
    Route,
    create_config,
)
from worker import Gangs, Worker

LIMIT_SECONDS = 110.0
HOST = 'nony24.example'

# Plays a case; returns a line for each break of the rule.
Play = Callable[[Record], Awaitable[list[str]]]


def run_case(folder: Path, play: Play) -> None:
    """Play a case, write its record, and exit with its result."""
    record = Record(folder / 'record.txt')
    record('begins', trouble=TROUBLE)
    status = asyncio.run(_play(record, play))
    sys.exit(status)


async def _play(record: Record, play: Play) -> int:
    try:
        found = await asyncio.wait_for(play(record), LIMIT_SECONDS)
    except CaseError as error:
        return _report(record, NOT_RUN, f'not run: {error}')
    except Exception:
        return _report(record, NOT_RUN, f'not run: {traceback.format_exc()}')
    for line in found:
        record('broken', what=line)
        sys.stdout.write(f'broken: {line}\n')
    status = BROKEN if found else HELD
    return _report(record, status, 'broken' if found else 'held')


def _report(record: Record, status: int, text: str) -> int:
    record('ends', status=status, result=text)
    sys.stdout.write(f'{text}\n')
    return status


class Bench:
    """A running deployment with workers, an operator and a client."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        """Create it; ``start`` starts it."""
        self.deployment = deployment
        self.record = record
        self.edges: list[Machine] = []
        self.sides: list[Machine] = []
        self.workers: list[Worker] = []
        self.gangs = Gangs()
        self.route = Route('r-desk', HOST, '/desk930/')
        self.routes = [self.route]
        self.operator = Operator(deployment, self.edges)
        self.client = Client(deployment, self.route, self.edges)

    def add_edges(self, disks: list[bool]) -> None:
        """Add one edge machine to each zone in turn."""
        for number, has_disk in enumerate(disks):
            zone = self.deployment.zones[number % len(self.deployment.zones)]
            self.edges.append(self.deployment.add_edge(zone, has_disk))

    def add_workers(self, count: int) -> None:
        """Add one worker and its machine to each zone in turn."""
        for number in range(count):
            zone = self.deployment.zones[number % len(self.deployment.zones)]
            side = self.deployment.add_side(zone)
            self.sides.append(side)
            self.workers.append(
                Worker(
                    name=f'i-{number:08x}',
                    ip=side.ip,
                    port=self.deployment.ports.app,
                    agent=(side.ip, self.deployment.ports.control),
                    service='desk',
                    zone=zone,
                    record=self.record,
                    gangs=self.gangs,
                    hold_max_ms=self.deployment.bounds['hold_max_ms'],
                    heartbeat_seconds=self.deployment.heartbeat_ms / 1000,
                    labels=['a', f'r{number}-1'],
                )
            )

    async def start(self) -> None:
        """Start all; return once a job has been run."""
        self.deployment.start_all()
        for worker in self.workers:
            await worker.start()
        await asyncio.sleep(3.0)
        config = create_config(1, self.routes)
        answer = await self.operator.send(
            'POST', '/api/Config.Put', config, seconds=20.0
        )
        if answer.status != 200:
            raise CaseError('the first configuration was not accepted')
        job = await self.client.submit(
            [{'count': 2, 'cpu': 100, 'mem_mb': 50}], {'ms': 200}
        )
        if await self.client.wait_until_done(job, 15.0) != 'done':
            raise CaseError('the first job did not end')

    async def close(self) -> None:
        """End the workers and all processes."""
        for worker in self.workers:
            if worker.is_up:
                await worker.crash()
        self.deployment.close()

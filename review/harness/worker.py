"""Stand-in for a worker of the platform, as PROTOCOL.md describes it.

It answers ``run-start``, ``run-stop``, ``hold`` and ``pace``, keeps the lease
on its own clock, fences by the highest token it has seen, lists ends until they
are acknowledged, and announces itself to the agent on its machine. A task's
duration in milliseconds is the ``ms`` of its job's ``spec``; a task without one
runs until it is stopped. ``gangs`` of the ``spec`` has the number of members of
each step that is a gang.
"""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from http_calls import Answer, Request, call, serve

STOP_SECONDS = 0.05
MAX_WAIT_MS = 2000
GANG_SECONDS = 3.0


@dataclass
class Run:
    """One run at work."""

    task: str
    run: int
    started_at: float
    timer: Any = None


class Gangs:
    """Members of each gang that are present, on all workers."""

    def __init__(self) -> None:
        """Create it without members."""
        self._members: dict[tuple[str, int], list[tuple[Worker, Run]]] = {}

    def join(self, worker: 'Worker', run: Run, size: int, ms: int) -> None:
        """Add a member; the gang works from the last member's start on."""
        loop = asyncio.get_running_loop()
        members = self._members.setdefault(_gang_key(run), [])
        members.append((worker, run))
        run.timer = loop.call_later(GANG_SECONDS, worker.end, run, 'alone')
        if len(members) < size:
            return
        for other, each in members:
            each.timer.cancel()
            each.timer = loop.call_later(ms / 1000, other.end, each, 'done')

    def leave(self, worker: 'Worker', run: Run, how: str) -> None:
        """Remove a member; without it the others that work are broken."""
        members = self._members.get(_gang_key(run), [])
        if (worker, run) not in members:
            return
        members.remove((worker, run))
        if how in {'done', 'alone'}:
            return
        for other, each in list(members):
            other.end(each, 'broken')


def _gang_key(run: Run) -> tuple[str, int]:
    return run.task.rpartition('.')[0], run.run


@dataclass
class Worker:
    """One worker life; ``crash`` ends it and ``start`` begins the next.

    ``record`` is called with a word and the figures of each event.
    """

    name: str
    ip: str
    port: int
    agent: tuple[str, int]
    service: str
    zone: str
    record: Callable[..., None]
    gangs: Gangs = field(default_factory=Gangs)
    hold_max_ms: int = 6000
    heartbeat_seconds: float = 1.5
    millicores: int = 4000
    memory_mb: int = 8000
    labels: list[str] = field(default_factory=lambda: ['a', 'r1-1'])
    state: str = 'ready'
    # Added to the Unix time of a start: the wall clock of the machine.
    wall_offset_ms: int = 0
    born_ms: int = 0
    sequence: int = 0
    fence: int = 0
    next_end: int = 1
    lease_until_ms: int = 0
    started_at: float = 0.0
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    # Highest run of each task that was stopped or has ended here.
    over: dict[str, int] = field(default_factory=dict)
    is_up: bool = False
    # The next start gets no answer, and is carried out so much later, by
    # whichever life is there then.
    late_seconds: float | None = None
    _server: Any = None
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _jobs: list[asyncio.Task[None]] = field(default_factory=list)
    _calls: set[asyncio.Task[Any]] = field(default_factory=set)

    async def start(self) -> None:
        """Begin a life that knows nothing of the one before."""
        self.born_ms = int(time.time() * 1000) + self.wall_offset_ms
        self.started_at = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.next_end = 1
        self.lease_until_ms = 0
        self.running = {}
        self.ended = []
        self.over = {}
        self.is_up = True
        self._server = await serve(self.ip, self.port, self._handle)
        self.record('worker starts', worker=self.name, born=self.born_ms)
        self._jobs = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._watch_lease()),
        ]

    async def crash(self) -> None:
        """End this life; nothing goes on, and the port is closed."""
        self.is_up = False
        for job in [*self._jobs, *self._calls]:
            job.cancel()
        for run in list(self.running.values()):
            if run.timer is not None:
                run.timer.cancel()
            self.record('run dies', worker=self.name, task=run.task, n=run.run)
            self.gangs.leave(self, run, 'dies')
        self.running = {}
        if self._server is not None:
            self._server.close()
        self.record('worker crashes', worker=self.name)
        await asyncio.sleep(0)

    def clock_ms(self) -> int:
        """Return the worker's own clock, which starts with its life."""
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    def announcement(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            'service': self.service,
            'addr': f'{self.ip}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'capacity': {
                'cpu': self.millicores,
                'mem_mb': self.memory_mb,
                'gpu': 0,
            },
            'labels': self.labels,
            'clock_ms': self.clock_ms(),
            'born': self.born_ms,
            'seq': self.sequence,
        }

    async def announce(self) -> Answer:
        """Send one heartbeat to the agent."""
        return await call(
            self.agent,
            'POST',
            f'/api/Instances.Heartbeat/{self.name}',
            content=self.announcement(),
        )

    async def _beat(self) -> None:
        while True:
            answer = await self.announce()
            wait = self.heartbeat_seconds if answer.status == 200 else 0.3
            await asyncio.sleep(wait)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock_ms() >= self.lease_until_ms:
                for run in list(self.running.values()):
                    self.end(run, 'lapsed')

    async def _handle(self, request: Request) -> tuple[int, Any]:
        handled = asyncio.current_task()
        if handled is not None:
            self._calls.add(handled)
            handled.add_done_callback(self._calls.discard)
        intended = request.headers.get('wasabiturn-expect-instance')
        if intended not in {None, self.name}:
            return 421, {'clock_ms': self.clock_ms()}
        body = request.json()
        if self.late_seconds is not None and request.path == '/api/run-start':
            await self._leave_unanswered(body, self.late_seconds)
        reason = self._check_fence(body)
        if reason:
            return self._conflict(reason)
        if request.path == '/api/run-start':
            return self._start_run(body)
        if request.path == '/api/run-stop':
            return await self._stop_run(body)
        if request.path == '/api/hold':
            return await self._hold(body)
        return 200, {'clock_ms': self.clock_ms()}

    async def _leave_unanswered(
        self, body: dict[str, Any], seconds: float
    ) -> None:
        self.late_seconds = None
        self.record(
            'order is left unanswered',
            worker=self.name,
            task=body['task'],
            n=body['run'],
        )
        asyncio.get_running_loop().call_later(
            seconds, self._carry_out_late, body
        )
        # The caller gives up long before.
        await asyncio.sleep(seconds)
        raise ConnectionError

    def _carry_out_late(self, body: dict[str, Any]) -> None:
        if not self.is_up or self._check_fence(body):
            outcome = 'refused'
        else:
            outcome = str(self._start_run(body)[0])
        self.record(
            'order is carried out late',
            worker=self.name,
            task=body['task'],
            n=body['run'],
            outcome=outcome,
        )

    def _conflict(self, reason: str) -> tuple[int, Any]:
        return 409, {'clock_ms': self.clock_ms(), 'reason': reason}

    def _check_fence(self, body: dict[str, Any]) -> str:
        fence = body.get('fence', 0)
        if fence < self.fence:
            return 'fence'
        self.fence = fence
        return ''

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + self.hold_max_ms
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest))

    def _start_run(self, body: dict[str, Any]) -> tuple[int, Any]:
        task = body['task']
        run = body['run']
        if body['until_ms'] <= self.clock_ms():
            return self._conflict('late')
        self._extend(body['until_ms'])
        known = self.running.get(task)
        if known is not None and known.run == run:
            return 200, {'clock_ms': self.clock_ms()}
        if run <= self.over.get(task, 0) or known is not None:
            return self._conflict('old')
        started = Run(task, run, time.monotonic())
        self.running[task] = started
        spec = json.loads(body['spec'])
        duration_ms = spec.get('ms')
        step = task.split('.')[2]
        if step in spec.get('gangs', {}):
            size = spec['gangs'][step]
            self.gangs.join(self, started, size, duration_ms)
        elif duration_ms is not None:
            started.timer = asyncio.get_running_loop().call_later(
                duration_ms / 1000, self.end, started, 'done'
            )
        self.record('run starts', worker=self.name, task=task, n=run)
        return 200, {'clock_ms': self.clock_ms()}

    async def _stop_run(self, body: dict[str, Any]) -> tuple[int, Any]:
        task = body['task']
        run = self.running.get(task)
        if run is None or run.run != body['run']:
            self.over[task] = max(self.over.get(task, 0), body['run'])
        else:
            asyncio.get_running_loop().call_later(
                STOP_SECONDS, self.end, run, 'stopped'
            )
        return 200, {'clock_ms': self.clock_ms()}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        acknowledged = body.get('acked_upto', 0)
        for row in self.ended:
            if row[0] <= acknowledged:
                self.record(
                    'end is taken note of',
                    worker=self.name,
                    task=row[1],
                    n=row[2],
                    how=row[3],
                )
        self.ended = [row for row in self.ended if row[0] > acknowledged]
        if body.get('until_ms'):
            self._extend(body['until_ms'])
        wait_ms = min(body.get('wait_ms', 0), MAX_WAIT_MS)
        if wait_ms and not self.ended:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_ms / 1000)
        return 200, {
            'clock_ms': self.clock_ms(),
            'born': self.born_ms,
            'running': [
                [run.task, run.run, '', 100, 0.1]
                for run in self.running.values()
            ],
            'ended': self.ended[:500],
        }

    def end(self, run: Run, how: str) -> None:
        """End a run, and list its end."""
        if self.running.get(run.task) is not run or not self.is_up:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self.running[run.task]
        self.over[run.task] = max(self.over.get(run.task, 0), run.run)
        self.ended.append([self.next_end, run.task, run.run, how, ''])
        self.next_end += 1
        self.record(
            'run ends', worker=self.name, task=run.task, n=run.run, how=how
        )
        self._changed.set()
        self.gangs.leave(self, run, how)

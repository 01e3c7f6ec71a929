"""Stand-in for a worker, as the page on running tasks tells it."""

import asyncio
import json
import time
from typing import Any

from review.harness_3.http import Server, request
from review.harness_3.record import Record

MAX_LISTED_ENDS = 500
ANNOUNCE_SECONDS = 1.5


class Run:
    """One run that goes on."""

    def __init__(self, task: str, run: int, spec: str) -> None:
        """Create it at the time of its start."""
        self.task = task
        self.run = run
        self.spec = spec
        self.timer: asyncio.TimerHandle | None = None
        self.begun_at = time.monotonic()
        self.percent = 100
        self.is_stopping = False
        self.saved = ''


class Worker:
    """Worker beside one agent, called at its ``port``."""

    def __init__(
        self,
        record: Record,
        name: str,
        address: str,
        port: int,
        agent_port: int,
        zone: str,
        rack: str,
        capacity: dict[str, int],
        service: str,
        hold_max_ms: int,
        stop_ms: int,
    ) -> None:
        """Create a worker that is down."""
        self.record = record
        self.name = name
        self.address = address
        self.port = port
        self.agent_port = agent_port
        self.zone = zone
        self.labels = ['a', rack]
        self.capacity = capacity
        self.service = service
        self.hold_max_ms = hold_max_ms
        self.stop_ms = stop_ms
        self.state = 'ready'
        self.is_up = False
        self.born_ms = 0
        self.calls_by_path: dict[str, int] = {}
        self.begun: list[tuple[float, str, int, str, int]] = []
        self.ends: list[tuple[float, str, int, str, int]] = []
        self.starts_delay = 0.0
        self._server: Server | None = None
        self._tasks: list[asyncio.Task] = []

    async def start(self, born_ms: int = 0) -> None:
        """Begin a life that knows nothing of the one before."""
        self.born_ms = born_ms or int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.seq = 0
        self.fence = 0
        self.until_ms = 0
        self.last_end = 0
        self.running: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.highest: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._lease_timer: asyncio.TimerHandle | None = None
        self.is_up = True
        self._server = Server(self.address, self.port, self._handle)
        await self._server.open()
        self._tasks = [asyncio.create_task(self._announce())]
        self.record.add('worker-up', self.name, self.born_ms)

    def crash(self) -> None:
        """End this life with all that runs on it."""
        if not self.is_up:
            return
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for run in self.running.values():
            if run.timer is not None:
                run.timer.cancel()
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        self.record.add('worker-crash', self.name, self.born_ms)

    def clock_ms(self) -> int:
        """Return the time since the start of this life."""
        return int((time.monotonic() - self.started_at) * 1000)

    async def _announce(self) -> None:
        while True:
            self.seq += 1
            body = {
                'service': self.service,
                'addr': f'{self.address}:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'cold_left_ms': 0,
                'capacity': self.capacity,
                'labels': self.labels,
                'clock_ms': self.clock_ms(),
                'seq': self.seq,
                'born': self.born_ms,
            }
            status, _ = await request(
                self.address,
                self.agent_port,
                'POST',
                f'/api/Instances.Heartbeat/{self.name}',
                body,
                timeout=1.0,
            )
            await asyncio.sleep(ANNOUNCE_SECONDS if status == 200 else 0.3)

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        self.calls_by_path[path] = self.calls_by_path.get(path, 0) + 1
        expected = headers.get('wasabiturn-expect-instance', self.name)
        if expected != self.name:
            return 421, self._fields()
        fields = json.loads(body) if body else {}
        if path == '/healthz':
            return 200, {}
        if path == '/api/hold':
            return await self._hold(fields)
        if path == '/api/run-start':
            if self.starts_delay:
                await asyncio.sleep(self.starts_delay)
            return self._start(fields)
        if path == '/api/run-stop':
            return self._stop(fields)
        if path == '/api/pace':
            return self._pace(fields)
        return 404, {}

    def _fields(self, **more: Any) -> dict[str, Any]:
        return {'clock_ms': self.clock_ms(), 'born': self.born_ms, **more}

    def _is_outdated(self, fields: dict[str, Any]) -> bool:
        fence = fields.get('fence', 0)
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def _extend(self, until_ms: int) -> bool:
        """Extend the lease; return whether the time has not passed."""
        now_ms = self.clock_ms()
        if until_ms <= now_ms:
            return False
        until_ms = min(until_ms, now_ms + self.hold_max_ms)
        if until_ms > self.until_ms:
            self.until_ms = until_ms
            if self._lease_timer is not None:
                self._lease_timer.cancel()
            loop = asyncio.get_running_loop()
            self._lease_timer = loop.call_later(
                (until_ms - now_ms) / 1000, self._lapse
            )
        return True

    def _lapse(self) -> None:
        for run in list(self.running.values()):
            self._end(run, 'lapsed')

    async def _hold(self, fields: dict[str, Any]) -> tuple[int, Any]:
        if self._is_outdated(fields):
            return 409, self._fields(reason='fence')
        acked = fields.get('acked_upto', 0)
        for row in self.ended:
            if row[0] <= acked:
                self.record.add('noted', self.name, *row[:4])
        self.ended = [row for row in self.ended if row[0] > acked]
        if 'until_ms' in fields:
            self._extend(fields['until_ms'])
        wait_ms = fields.get('wait_ms', 0)
        if wait_ms and not self.ended:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.run, run.saved, run.percent, 0]
            for run in self.running.values()
        ]
        return 200, self._fields(
            running=running, ended=self.ended[:MAX_LISTED_ENDS]
        )

    def _start(self, fields: dict[str, Any]) -> tuple[int, Any]:
        if self._is_outdated(fields):
            return 409, self._fields(reason='fence')
        if not self._extend(fields['until_ms']):
            return 409, self._fields(reason='late')
        task, number = fields['task'], fields['run']
        known = self.running.get(task)
        if known is not None and known.run == number:
            return 200, self._fields()
        if known is not None or number <= self.highest.get(task, 0):
            return 409, self._fields(reason='old')
        run = Run(task, number, fields['spec'])
        self.running[task] = run
        self.highest[task] = number
        self.begun.append(
            (self.record.now(), task, number, fields['spec'], self.born_ms)
        )
        self.record.add('begin', self.name, task, number)
        seconds = self.seconds_of(run)
        if seconds is not None:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(seconds, self._end, run, 'done')
        return 200, self._fields()

    def seconds_of(self, run: Run) -> float | None:
        """Return how long a run takes; the spec begins with milliseconds."""
        ms = int(run.spec.split(' ')[0])
        return ms / 1000 if ms else None

    def _stop(self, fields: dict[str, Any]) -> tuple[int, Any]:
        if self._is_outdated(fields):
            return 409, self._fields(reason='fence')
        task, number = fields['task'], fields['run']
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run == number and not run.is_stopping:
            run.is_stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(self.stop_ms / 2000, self._end, run, 'stopped')
        return 200, self._fields()

    def _pace(self, fields: dict[str, Any]) -> tuple[int, Any]:
        if self._is_outdated(fields):
            return 409, self._fields(reason='fence')
        run = self.running.get(fields['task'])
        if run is not None and run.run == fields['run']:
            run.percent = fields['percent']
        return 200, self._fields()

    def _end(self, run: Run, how: str) -> None:
        if not self.is_up or self.running.get(run.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self.running[run.task]
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.run, how, run.saved])
        self.ends.append(
            (self.record.now(), run.task, run.run, how, self.born_ms)
        )
        self.record.add('end', self.name, run.task, run.run, how)
        self._changed.set()

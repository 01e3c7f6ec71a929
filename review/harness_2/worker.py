"""Stand-in of a worker that follows PROTOCOL.md.

The specification of a job is JSON with ``ms``: how long each task works.
"""

import asyncio
import contextlib
import json
import time

from http_io import call, serve

FENCE = 'fence'
LISTED_ENDS = 500


class Run:
    """One run of a task."""

    def __init__(self, task, number, work_ms, now):
        """Begin the run at ``now``."""
        self.task = task
        self.number = number
        self.work_ms = work_ms
        self.percent = 100
        self.begun_at = now
        self.timer = None


class Worker:
    """One worker beside an agent; lives follow each other at its address."""

    def __init__(self, settings, record, name, address, ports, zone):
        """Create a worker that is down."""
        self.settings = settings
        self.record = record
        self.name = name
        self.address = address
        self.app_port = ports['app']
        self.control_port = ports['control']
        self.zone = zone
        self.cpu = settings.get('cpu', 32000)
        self.mem = settings.get('mem_mb', 128000)
        self.labels = ['a', f'r1-{name[-1]}']
        self.born = 0
        self.state = 'ready'
        self.acknowledged_states = set()
        # Called with the path and the body of each call; may return an answer.
        self.intercept = None
        self.is_up = False
        self.server = None
        self.tasks = []

    async def start(self):
        """Begin a life that knows nothing of the one before."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.zero = time.monotonic() - 1
        self.fence = 0
        self.lease_until = 0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.highest = {}
        self.sequence = 0
        self.state = 'ready'
        self.changed = asyncio.Event()
        self.is_up = True
        self.server = await serve(self.address, self.app_port, self.handle)
        self.tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._expire()),
        ]
        self.record.note('worker up', worker=self.name, born=self.born)

    async def crash(self):
        """End this life with all its runs."""
        self.record.note('worker down', worker=self.name, born=self.born)
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        for run in list(self.running.values()):
            self._finish(run, 'crashed', is_listed=False)
        await self.server.end()

    def clock_ms(self):
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.zero) * 1000)

    def beat_fields(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            'service': self.settings['service'],
            'addr': f'{self.address}:{self.app_port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'capacity': {'cpu': self.cpu, 'mem_mb': self.mem, 'gpu': 0},
            'labels': self.labels,
            'clock_ms': self.clock_ms(),
            'seq': self.sequence,
            'born': self.born,
        }

    async def send_beat(self, fields, worker_id=None):
        """Send one heartbeat; return its status, 0 without an answer."""
        path = f'/api/Instances.Heartbeat/{worker_id or self.name}'
        status, _ = await call(
            self.address, self.control_port, 'POST', path, fields, seconds=1
        )
        return status

    async def _beat(self):
        while True:
            fields = self.beat_fields()
            status = await self.send_beat(fields)
            if status // 100 == 2:
                if fields['state'] not in self.acknowledged_states:
                    self.acknowledged_states.add(fields['state'])
                    self.record.note(
                        'heartbeat acknowledged',
                        worker=self.name,
                        state=fields['state'],
                    )
                await asyncio.sleep(1.5)
            else:
                await asyncio.sleep(0.3)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock_ms() >= self.lease_until:
                self.record.note('lease expired', worker=self.name)
                for run in list(self.running.values()):
                    self._finish(run, 'lapsed')

    def _extend(self, until_ms):
        latest = self.clock_ms() + self.settings['hold_max_ms']
        self.lease_until = max(self.lease_until, min(until_ms, latest))

    def _finish(self, run, how, is_listed=True):
        self.running.pop((run.task, run.number), None)
        if run.timer is not None:
            run.timer.cancel()
        self.record.note(
            'run ends',
            worker=self.name,
            born=self.born,
            task=run.task,
            run=run.number,
            how=how,
        )
        self._raise_highest(run.task, run.number)
        if is_listed:
            row = [self.next_end, run.task, run.number, how, '']
            self.ended.append(row)
            self.next_end += 1
            self.changed.set()
            self.changed = asyncio.Event()

    def _raise_highest(self, task, number):
        self.highest[task] = max(self.highest.get(task, 0), number)

    async def handle(self, method, path, headers, body):
        """Answer one call of the agent."""
        expected = headers.get('wasabiturn-expect-instance', self.name)
        if expected != self.name:
            return 421, {'clock_ms': self.clock_ms()}
        fields = json.loads(body or b'{}')
        if self.intercept is not None:
            answer = await self.intercept(self, path, fields)
            if answer is not None:
                return answer
        return await self.carry_out(path, fields)

    async def carry_out(self, path, fields):
        """Carry out one call."""
        fence = fields.get('fence', 0)
        if fence < self.fence:
            return self._refuse(FENCE)
        self.fence = fence
        if path == '/api/hold':
            return await self._hold(fields)
        if path == '/api/run-start':
            return self._start(fields)
        key = (fields['task'], fields['run'])
        run = self.running.get(key)
        if path == '/api/run-stop':
            self._raise_highest(*key)
            if run is not None:
                self._finish(run, 'stopped')
        elif path == '/api/pace' and run is not None:
            run.percent = fields['percent']
        return 200, {'clock_ms': self.clock_ms(), 'born': self.born}

    def _refuse(self, reason):
        return 409, {'clock_ms': self.clock_ms(), 'reason': reason}

    def _start(self, fields):
        until_ms = fields['until_ms']
        if until_ms <= self.clock_ms():
            return self._refuse('late')
        self._extend(until_ms)
        key = (fields['task'], fields['run'])
        if key in self.running:
            return 200, {'clock_ms': self.clock_ms()}
        if fields['run'] <= self.highest.get(fields['task'], 0):
            return self._refuse('old')
        loop = asyncio.get_running_loop()
        run = Run(*key, json.loads(fields['spec'])['ms'], loop.time())
        self.running[key] = run
        self.record.note(
            'run begins',
            worker=self.name,
            born=self.born,
            task=run.task,
            run=run.number,
        )
        if run.work_ms:
            run.timer = loop.call_later(
                run.work_ms / 1000, self._finish, run, 'done'
            )
        return 200, {'clock_ms': self.clock_ms()}

    async def _hold(self, fields):
        acknowledged = fields.get('acked_upto', 0)
        if self.ended and self.ended[0][0] <= acknowledged:
            self.record.note(
                'ends acknowledged', worker=self.name, upto=acknowledged
            )
        self.ended = [row for row in self.ended if row[0] > acknowledged]
        if fields.get('until_ms'):
            self._extend(fields['until_ms'])
        if fields.get('wait_ms') and not self.ended:
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), fields['wait_ms'] / 1000)
        now = asyncio.get_running_loop().time()
        return 200, {
            'clock_ms': self.clock_ms(),
            'born': self.born,
            'running': [
                [run.task, run.number, '', _percent_of(run, now), 0]
                for run in self.running.values()
            ],
            'ended': self.ended[:LISTED_ENDS],
        }


def _percent_of(run, now):
    if not run.work_ms:
        return 100
    return min(int((now - run.begun_at) * 100_000 / run.work_ms), 99)

"""Workers of a soak: stand-ins behind HTTP, which crash and return."""

import json
from functools import partial
from typing import Any, final

import attrs
from twisted.internet.protocol import Factory

from benchmarks.platform_soak.calls import Answer, send_call
from benchmarks.platform_soak.journal import (
    ACKNOWLEDGED,
    BEGIN,
    END,
    Journal,
    RunEvent,
)
from benchmarks.platform_soak.settings import SERVICE, Site
from benchmarks.platform_soak.worker_calls import OK, WorkerCalls
from benchmarks.soak.relay import NetworkPath, RelayFactory
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.http_messages import HttpRequest
from wasabiturn.connection.http_site import HttpSite
from wasabiturn.messages.batch import EndedRow, StartOrder
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.process.agent.runs.port import WorkerIdentity
from wasabiturn.standins.batch_worker import (
    Fault,
    SimulatedWork,
    StandInBatchWorker,
)

MILLICORES = 4000
MEMORY_MB = 8000
ANNOUNCE_SECONDS = 1.5
ANNOUNCE_RETRY_SECONDS = 0.3
ANNOUNCE_TIMEOUT_SECONDS = 1.0
_MS_PER_SECOND = 1000


@final
class _LifeFactory(Factory):
    """Connections that end with the life of the worker that accepted them."""

    noisy = False

    def __init__(self, site: HttpSite) -> None:
        self.connections: list[Any] = []
        self._site = site

    def buildProtocol(self, addr: Any) -> Any:
        """Build and keep the server side of one connection."""
        connection = self._site.buildProtocol(addr)
        self.connections.append(connection)
        return connection


@final
@attrs.define(eq=False)
class Worker:
    """Worker beside one agent; the agent calls it through ``path``."""

    site: Site
    reactor: Any
    journal: Journal
    standin: StandInBatchWorker
    path: NetworkPath
    is_up: bool = False
    _ports: list[Any] = attrs.field(factory=list)
    _life: _LifeFactory | None = None
    _announcing: Any = None

    @property
    def name(self) -> str:
        """Return the name under which every life announces itself."""
        return self.site.name

    def start(self) -> None:
        """Begin a life that knows nothing of the one before."""
        if self.is_up:
            return
        self.standin.start_incarnation()
        self.is_up = True
        calls = WorkerCalls(self.standin)
        self._life = _LifeFactory(HttpSite(calls.handle, self.reactor))
        ports = self.site.ports
        inner = Endpoint(self.site.address, ports.inner_worker)
        relay = RelayFactory(self.path, inner, self.reactor)
        for port, factory in (
            (ports.inner_worker, self._life),
            (ports.worker, relay),
        ):
            listening = self.reactor.listenTCP(
                port, factory, interface=self.site.address
            )
            self._ports.append(listening)
        self._announce()

    def crash(self) -> None:
        """End this life with its runs, its ports and its connections."""
        if not self.is_up:
            return
        self.is_up = False
        self._announcing.cancel()
        for port in self._ports:
            port.stopListening()
        self._ports.clear()
        for connection in self._life.connections if self._life else ():
            if connection.transport is not None:
                connection.transport.abortConnection()
        self.path.reset_open_connections()
        self.standin.crash()

    def _announce(self) -> None:
        identity = self.standin.identity
        self.standin.identity = attrs.evolve(
            identity, sequence=identity.sequence + 1
        )
        request = HttpRequest(
            'POST',
            f'/api/Instances.Heartbeat/{identity.worker}',
            {'Content-Type': 'application/json'},
            self._encode_announcement(),
        )
        agent = Endpoint(self.site.address, self.site.ports.control)
        self._announcing = self.reactor.callLater(
            ANNOUNCE_SECONDS, self._announce
        )
        send_call(
            self.reactor, agent, request, 'agent', ANNOUNCE_TIMEOUT_SECONDS
        ).addCallback(self._retry_announcement)

    def _retry_announcement(self, answer: Answer) -> None:
        if answer.status == OK or not self.is_up:
            return
        self._announcing.cancel()
        self._announcing = self.reactor.callLater(
            ANNOUNCE_RETRY_SECONDS, self._announce
        )

    def _encode_announcement(self) -> bytes:
        identity = self.standin.identity
        fields = {
            'service': identity.service_name,
            'addr': f'{self.site.address}:{self.site.ports.worker}',
            'zone': identity.data_centre,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {'cpu': MILLICORES, 'mem_mb': MEMORY_MB, 'gpu': 0},
            'labels': list(identity.labels),
            'clock_ms': self.standin.clock_ms(),
            'born': identity.born_ms,
            'seq': identity.sequence,
        }
        return json.dumps(fields).encode()


def create_worker(site: Site, reactor: Any, journal: Journal) -> Worker:
    """Create a worker that is down."""
    rack = f'r{site.name.rpartition("-")[2]}-1'
    standin = StandInBatchWorker(
        reactor,
        WorkerIdentity(
            worker=site.name,
            born_ms=1,
            service_name=SERVICE,
            data_centre=site.data_centre,
            rack=rack,
            labels=('a', rack),
            millicores=MILLICORES,
            memory_mb=MEMORY_MB,
            accelerators=0,
        ),
        choose_work=_choose_work,
        choose_fault=lambda: Fault.none,
    )
    # It is down until its first life starts.
    standin.crash()
    _record_runs(standin, journal, site.name)
    return Worker(
        site=site,
        reactor=reactor,
        journal=journal,
        standin=standin,
        path=NetworkPath(clock=reactor),
    )


def _choose_work(order: StartOrder) -> SimulatedWork:
    spec = json.loads(order.payload)
    return SimulatedWork(seconds=spec['ms'] / _MS_PER_SECOND)


def _record_runs(
    standin: StandInBatchWorker, journal: Journal, worker: str
) -> None:
    create_event = partial(RunEvent, worker=worker)

    def begin(task: str, run: int) -> None:
        journal.add_run(
            create_event(at=journal.now(), what=BEGIN, task=task, run=run)
        )

    def end(task: str, run: int, ending: RunEnding) -> None:
        event = create_event(
            at=journal.now(), what=END, task=task, run=run, ending=ending.name
        )
        journal.add_run(event)

    def acknowledge(row: EndedRow, ended_at: float) -> None:
        event = create_event(
            at=journal.now(),
            what=ACKNOWLEDGED,
            task=row.task,
            run=row.run,
            ending=row.ending.name,
            ended_at=ended_at,
        )
        journal.add_run(event)

    standin.on_begin.append(begin)
    standin.on_end.append(end)
    standin.on_acknowledged.append(acknowledge)

"""Stand-in for a backend server: answers, announces itself and counts runs.

A request header ``Standin-Fault`` asks for a fault: ``delay=SECONDS``,
``cut=BYTES`` (close after so many bytes of the answer), ``silence`` (never
answer), ``large=BYTES`` (answer of that size). Without it the answer holds
the instance, the path and the received body's length and digest.
"""

import hashlib
import json
import signal
from pathlib import Path
from typing import Annotated, Any, cast, final
from uuid import uuid4

import attrs
import typer
from twisted.internet import reactor as default_reactor
from twisted.internet.protocol import Protocol
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from wasabiturn.connection.dialer import Endpoint, parse_endpoint
from wasabiturn.standins.bodies import FixedBody, LargeAnswer

ANNOUNCE_SECONDS = 1.0
LEAVE_SECONDS = 0.5
CUT_SECONDS = 0.01
FAULT_HEADER = 'standin-fault'


@final
@attrs.define
class Options:
    """What the stand-in serves and how."""

    listen: Endpoint
    announce: Endpoint
    service: str
    slots: int = 8
    connections: int = 64
    service_seconds: float = 0.01
    record_file: Path | None = None
    incarnation: str = attrs.field(factory=lambda: uuid4().hex)


@final
@attrs.define
class Counters:
    """What the stand-in has seen; overflows must stay zero."""

    running: int = 0
    most_running: int = 0
    overflows: int = 0
    served: int = 0
    open_connections: int = 0
    most_connections: int = 0


@final
class StandinBackend:
    """A backend server with a fixed service time."""

    def __init__(self, options: Options, reactor: Any) -> None:
        """Create the stand-in; ``start`` opens its port."""
        self.options = options
        self.counters = Counters()
        self.leaving = False
        self._reactor = reactor
        self._port: Any = None
        self._agent = Agent(reactor, pool=HTTPConnectionPool(reactor))
        self._announcer = LoopingCall(self.announce)
        self._announcer.clock = reactor

    def start(self) -> None:
        """Listen, and announce the stand-in every second."""
        listen = self.options.listen
        site = _CountingSite(_ServedResource(self), self.counters)
        self._port = self._reactor.listenTCP(
            listen.port,
            site,
            interface=listen.host,
        )
        self._announcer.start(ANNOUNCE_SECONDS)

    def leave(self) -> None:
        """Announce the leave, finish what runs, then stop the loop."""
        self.leaving = True
        self.announce()
        self._reactor.callLater(LEAVE_SECONDS, self._stop_when_idle)

    def stop(self) -> None:
        """Stop announcing and listening."""
        if self._announcer.running:
            self._announcer.stop()
        if self._port is not None:
            self._port.stopListening()

    def announce(self) -> None:
        """Send one announcement; a failure is repeated by the next one."""
        options = self.options
        body = json.dumps(
            {
                'service': options.service,
                'address': str(options.listen),
                'slots': options.slots,
                'connections': options.connections,
                'incarnation': options.incarnation,
                'leaving': self.leaving,
            }
        )
        sent = self._agent.request(
            b'PUT',
            f'http://{options.announce}/v1/backend-server'.encode(),
            Headers({b'content-type': [b'application/json']}),
            cast(IBodyProducer, FixedBody(body.encode())),
        )
        sent.addCallbacks(lambda answer: answer.deliverBody(Protocol()), _drop)

    def begin(self, path: str) -> None:
        """Count the start of one run, and record its path."""
        counters = self.counters
        counters.running += 1
        counters.most_running = max(counters.most_running, counters.running)
        if counters.running > self.options.slots:
            counters.overflows += 1
        if self.options.record_file is not None:
            _append_line(self.options.record_file, path)

    def finish(self) -> None:
        """Count the end of one run."""
        self.counters.running -= 1
        self.counters.served += 1

    def call_later(self, seconds: float, callback: Any, *args: Any) -> Any:
        """Schedule ``callback`` on the stand-in's loop."""
        return self._reactor.callLater(seconds, callback, *args)

    def _stop_when_idle(self) -> None:
        if self.counters.running:
            self._reactor.callLater(ANNOUNCE_SECONDS / 10, self._stop_when_idle)
        else:
            self._reactor.stop()


@final
class _CountingSite(Site):
    """Site that counts its open connections."""

    noisy = False

    def __init__(self, resource: Resource, counters: Counters) -> None:
        super().__init__(resource, timeout=None)
        self._counters = counters

    def buildProtocol(self, addr: Any) -> Any:
        """Count a connection until it is lost."""
        channel: Any = super().buildProtocol(addr)
        counters = self._counters
        counters.open_connections += 1
        counters.most_connections = max(
            counters.most_connections,
            counters.open_connections,
        )
        lost = channel.connectionLost

        def count_lost(reason: Any) -> None:
            counters.open_connections -= 1
            lost(reason)

        channel.connectionLost = count_lost
        return channel


@final
class _ServedResource(Resource):
    """Serves every path."""

    isLeaf = True  # noqa: N815 - name of Twisted

    def __init__(self, standin: StandinBackend) -> None:
        super().__init__()
        self._standin = standin

    def render(self, request: Request) -> int | bytes:
        """Serve one request after the service time, or show the counters."""
        if request.path == b'/standin/counters':
            return json.dumps(attrs.asdict(self._standin.counters)).encode()
        _Run(self._standin, request).start()
        return NOT_DONE_YET


@final
class _Run:
    """One run of a request."""

    def __init__(self, standin: StandinBackend, request: Request) -> None:
        self._standin = standin
        self._request = request
        fault, _, amount = _header(request, FAULT_HEADER).partition('=')
        self._fault = fault
        self._amount = float(amount or 0)
        self._lost = False

    def start(self) -> None:
        """Begin; the answer follows after the service time."""
        request = self._request
        gone = request.notifyFinish()
        gone.addBoth(self._handle_gone)
        self._standin.begin(request.path.decode())
        seconds = self._standin.options.service_seconds
        if self._fault == 'delay':
            seconds = self._amount
        if self._fault != 'silence':
            self._standin.call_later(seconds, self._answer)

    def _handle_gone(self, outcome: Any) -> None:
        self._lost = True
        self._standin.finish()

    def _answer(self) -> None:
        if self._lost:
            return
        request = self._request
        if self._fault == 'large':
            LargeAnswer(request, int(self._amount)).start()
            return
        body = self._describe()
        request.setHeader(b'content-type', b'application/json')
        request.setHeader(b'content-length', str(len(body)).encode())
        if self._fault == 'cut':
            request.write(body[: int(self._amount)])
            self._standin.call_later(CUT_SECONDS, self._cut)
            return
        request.write(body)
        request.finish()

    def _cut(self) -> None:
        if not self._lost:
            self._request.channel.loseConnection()

    def _describe(self) -> bytes:
        request = self._request
        content = cast(Any, request.content).read()
        described = {
            'incarnation': self._standin.options.incarnation,
            'method': request.method.decode(),
            'uri': request.uri.decode(),
            'length': len(content),
            'digest': hashlib.sha256(content).hexdigest(),
            'echo': _header(request, 'standin-echo'),
        }
        return json.dumps(described).encode()


def _header(request: Request, name: str) -> str:
    return request.getHeader(name) or ''


def _append_line(path: Path, line: str) -> None:
    with path.open('a', encoding='utf-8') as record:
        record.write(f'{line}\n')


def _drop(failure: Any) -> None:
    """Leave a failed announcement to the next one."""


def main(
    listen: Annotated[str, typer.Option()],
    announce: Annotated[str, typer.Option()],
    service: Annotated[str, typer.Option()],
    slots: int = 8,
    connections: int = 64,
    service_ms: float = 10.0,
    record: Annotated[Path | None, typer.Option()] = None,
) -> None:
    """Run the stand-in until SIGTERM."""
    standin = StandinBackend(
        Options(
            listen=parse_endpoint(listen),
            announce=parse_endpoint(announce),
            service=service,
            slots=slots,
            connections=connections,
            service_seconds=service_ms / 1000,
            record_file=record,
        ),
        default_reactor,
    )
    loop: Any = default_reactor
    standin.start()
    signal.signal(
        signal.SIGTERM,
        lambda number, frame: loop.callFromThread(standin.leave),
    )
    loop.run(installSignalHandlers=False)


if __name__ == '__main__':
    typer.run(main)

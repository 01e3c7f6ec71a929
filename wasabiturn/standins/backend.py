"""Stand-in for a backend server that announces itself to an agent.

It answers every request and counts the runs of requests. By default the
response is a JSON object with the incarnation of the stand-in, the method, URI
and ``Standin-Echo`` header of the request, and the length and SHA-256 digest of
its body. The request header ``Standin-Fault`` injects a fault:

- ``delay=SECONDS``: respond after this time instead of the service time.
- ``cut=BYTES``: close the connection after this many bytes of the body.
- ``silence``: never respond.
- ``large=BYTES``: respond with a body of this size.
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

from wasabiturn.connection.endpoint import Endpoint, parse_endpoint
from wasabiturn.standins.bodies import FixedBody, LargeResponse

ANNOUNCE_SECONDS = 1.0
LEAVE_DELAY_SECONDS = 0.5
CUT_DELAY_SECONDS = 0.01
FAULT_HEADER = 'standin-fault'


@final
@attrs.define
class BackendOptions:
    """Addresses, announced limits and service time of the stand-in."""

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
    """Counters of runs and connections.

    ``overflows`` counts the starts of runs beyond the announced slots; it must
    stay zero.
    """

    running: int = 0
    most_running: int = 0
    overflows: int = 0
    served: int = 0
    open_connections: int = 0
    most_connections: int = 0


@final
class StandInBackend:
    """A backend server with a fixed service time."""

    def __init__(self, options: BackendOptions, reactor: Any) -> None:
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
        """Start listening, and announce every ``ANNOUNCE_SECONDS``."""
        listen = self.options.listen
        site = _CountingSite(_CatchAllResource(self), self.counters)
        self._port = self._reactor.listenTCP(
            listen.port,
            site,
            interface=listen.host,
        )
        self._announcer.start(ANNOUNCE_SECONDS)

    def leave(self) -> None:
        """Announce the departure, wait for open runs, then stop the reactor."""
        self.leaving = True
        self.announce()
        self._reactor.callLater(LEAVE_DELAY_SECONDS, self._stop_when_idle)

    def stop(self) -> None:
        """Stop announcing and listening."""
        if self._announcer.running:
            self._announcer.stop()
        if self._port is not None:
            self._port.stopListening()

    def announce(self) -> None:
        """Send one announcement; it isn't retried, as the next one follows."""
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
        announced = self._agent.request(
            b'PUT',
            f'http://{options.announce}/v1/backend-server'.encode(),
            Headers({b'content-type': [b'application/json']}),
            cast(IBodyProducer, FixedBody(body.encode())),
        )
        announced.addCallbacks(
            lambda response: response.deliverBody(Protocol()),
            _ignore_failure,
        )

    def record_start(self, path: str) -> None:
        """Count the start of a run, and append its path to the record file."""
        counters = self.counters
        counters.running += 1
        counters.most_running = max(counters.most_running, counters.running)
        if counters.running > self.options.slots:
            counters.overflows += 1
        if self.options.record_file is not None:
            _append_line(self.options.record_file, path)

    def record_end(self) -> None:
        """Count the end of a run."""
        self.counters.running -= 1
        self.counters.served += 1

    def call_later(self, seconds: float, callback: Any, *args: Any) -> Any:
        """Schedule ``callback`` on the reactor of the stand-in."""
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
        """Create a channel, and count it as open until it is lost."""
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
class _CatchAllResource(Resource):
    """Resource that serves every path."""

    isLeaf = True  # noqa: N815 - name given by twisted.web

    def __init__(self, backend: StandInBackend) -> None:
        super().__init__()
        self._backend = backend

    def render(self, request: Request) -> int | bytes:
        """Start a run of the request, or return the counters."""
        if request.path == b'/standin/counters':
            return json.dumps(attrs.asdict(self._backend.counters)).encode()
        _Run(self._backend, request).start()
        return NOT_DONE_YET


@final
class _Run:
    """One run of a request, with the fault that its header injects."""

    def __init__(self, backend: StandInBackend, request: Request) -> None:
        self._backend = backend
        self._request = request
        fault, _, amount = _header(request, FAULT_HEADER).partition('=')
        self._fault = fault
        self._amount = float(amount or 0)
        self._ended = False

    def start(self) -> None:
        """Count the run, and schedule the response if there is to be one."""
        request = self._request
        ended = request.notifyFinish()
        ended.addBoth(self._handle_end)
        self._backend.record_start(request.path.decode())
        seconds = self._backend.options.service_seconds
        if self._fault == 'delay':
            seconds = self._amount
        if self._fault != 'silence':
            self._backend.call_later(seconds, self._respond)

    def _handle_end(self, outcome: Any) -> None:
        self._ended = True
        self._backend.record_end()

    def _respond(self) -> None:
        if self._ended:
            return
        request = self._request
        if self._fault == 'large':
            LargeResponse(request, int(self._amount)).start()
            return
        body = self._create_body()
        request.setHeader(b'content-type', b'application/json')
        request.setHeader(b'content-length', str(len(body)).encode())
        if self._fault == 'cut':
            request.write(body[: int(self._amount)])
            self._backend.call_later(CUT_DELAY_SECONDS, self._close_connection)
            return
        request.write(body)
        request.finish()

    def _close_connection(self) -> None:
        if not self._ended:
            self._request.channel.loseConnection()

    def _create_body(self) -> bytes:
        request = self._request
        content = cast(Any, request.content).read()
        described = {
            'incarnation': self._backend.options.incarnation,
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


def _ignore_failure(failure: Any) -> None:
    """Ignore a failed announcement; the next one follows shortly."""


def main(
    listen: Annotated[str, typer.Option()],
    announce: Annotated[str, typer.Option()],
    service: Annotated[str, typer.Option()],
    slots: int = 8,
    connections: int = 64,
    service_ms: float = 10.0,
    record: Annotated[Path | None, typer.Option()] = None,
) -> None:
    """Run a stand-in backend server until SIGTERM."""
    backend = StandInBackend(
        BackendOptions(
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
    backend.start()
    signal.signal(
        signal.SIGTERM,
        lambda signum, frame: loop.callFromThread(backend.leave),
    )
    loop.run(installSignalHandlers=False)


if __name__ == '__main__':
    typer.run(main)

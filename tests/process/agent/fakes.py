"""Agent with in-memory entries and backend server on a virtual clock."""

from typing import Any

from twisted.internet import error as tcp_errors
from twisted.internet.error import ConnectError, ConnectionLost
from twisted.internet.task import Clock, LoopingCall
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from tests.connection.fakes import Pipe
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.streams import Stream
from wasabiturn.ids import IncarnationId
from wasabiturn.messages.codec import unpack
from wasabiturn.messages.kinds import Method, Role
from wasabiturn.messages.link import Hello
from wasabiturn.messages.session import (
    BackendRecord,
    RequestHead,
    ResponseHead,
)
from wasabiturn.process.agent.backends import Backends
from wasabiturn.process.agent.request_server import Serving

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbooked'
ANSWER_HEAD = ANSWER[: -len(b'booked')]


class BackendTransport(StringTransport):
    """Transport of the agent's side of one backend connection."""

    def __init__(self, connection: 'BackendEnd') -> None:
        super().__init__()
        self._connection = connection

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def setTcpKeepAlive(self, enabled: bool) -> None:
        pass

    def abortConnection(self) -> None:
        self._connection.clock.callLater(0, self._connection.lose)

    def loseConnection(self) -> None:
        self.abortConnection()


class BackendEnd:
    """The backend server's side of one connection."""

    def __init__(self, clock: Clock, factory: Any) -> None:
        self.clock = clock
        self.is_lost = False
        self.answered = 0
        self.transport = BackendTransport(self)
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)

    @property
    def received(self) -> bytes:
        return self.transport.value()

    @property
    def requests(self) -> int:
        return self.received.count(b' HTTP/1.1\r\n')

    def answer(self, content: bytes) -> None:
        self.answered += 1
        self.send(content)

    def send(self, content: bytes) -> None:
        if not self.is_lost:
            self.protocol.dataReceived(content)

    def lose(self) -> None:
        if not self.is_lost:
            self.is_lost = True
            self.protocol.connectionLost(Failure(ConnectionLost()))


class FakeReactor(Clock):
    """Clock whose connections lead to the fake backend server."""

    def __init__(self) -> None:
        super().__init__()
        self.connections: list[BackendEnd] = []
        self.connecting: list[Any] = []
        self.accepts = True

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float,
    ) -> None:
        self.connecting.append(factory)
        if self.accepts:
            self.accept()
        self.callLater(timeout, self._time_out, factory)

    def accept(self) -> None:
        for factory in self.connecting:
            self.connections.append(BackendEnd(self, factory))
        self.connecting.clear()

    def refuse(self) -> None:
        for factory in list(self.connecting):
            self.connecting.remove(factory)
            error = tcp_errors.ConnectionRefusedError(string='refused')
            factory.clientConnectionFailed(None, Failure(error))

    def open_connections(self) -> int:
        return sum(not each.is_lost for each in self.connections)

    def _time_out(self, factory: Any) -> None:
        if factory in self.connecting:
            self.connecting.remove(factory)
            error = ConnectError(string='timed out')
            factory.clientConnectionFailed(None, Failure(error))


class EntryStream:
    """What the entry sees of one request."""

    def __init__(self, consume: bool = True) -> None:
        self.stream: Stream | None = None
        self.head: ResponseHead | None = None
        self.body = b''
        self.events: list[str] = []
        self.consume = consume

    def data_received(self, chunk: bytes) -> None:
        if self.head is None:
            self.head = unpack(ResponseHead, chunk)
            verdict = self.head.verdict.name
            self.events.append(f'{verdict} {self.head.status}')
            return
        self.body += chunk
        if self.consume and self.stream is not None:
            self.stream.consumed(len(chunk))

    def end_received(self) -> None:
        self.events.append(f'end after {len(self.body)} bytes')

    def reset_received(self, reason: str) -> None:
        self.events.append(f'reset: {reason}')

    def writable(self) -> None:
        self.events.append('writable')


class AgentHarness:
    """One agent with a backend server and any number of entries."""

    def __init__(
        self,
        slots: int = 1,
        connections: int = 64,
        entries: int = 1,
    ) -> None:
        self.reactor = FakeReactor()
        self.record = BackendRecord(
            service_name='standdesk',
            slots=slots,
            connections=connections,
            address='127.0.0.1:8080',
            incarnation='b1',
        )
        self.backends = Backends(reactor=self.reactor)
        self.backends.announce(self.record)
        self.serving = Serving(
            self.backends,
            self.reactor,
            IncarnationId('a1'),
        )
        self.dispatch = _create_dispatch('agent-1', Role.agent)
        self.serving.register(self.dispatch)
        self.pipes = [self._connect(number) for number in range(entries)]
        ticker = LoopingCall(self._tick)
        ticker.clock = self.reactor
        ticker.start(0.025, now=False)

    @property
    def table(self) -> Any:
        return self.backends.all_backends()[0].table

    def request(
        self,
        body: bytes = b'',
        entry: int = 0,
        end: bool = True,
        consume: bool = True,
        **fields: Any,
    ) -> EntryStream:
        """Send one request; a keyed non-idempotent one unless told else."""
        defaults = {
            'request_id': 'r1',
            'service_name': 'standdesk',
            'method': 'POST',
            'path': '/confirm',
            'timeout_ms': 5000,
        }
        seen = EntryStream(consume)
        seen.stream = self.pipes[entry].left.open_stream(
            Method.serve,
            RequestHead(**{**defaults, **fields}),
            seen,
        )
        if body:
            seen.stream.write(body)
        if end:
            seen.stream.end()
        self.settle()
        return seen

    def settle(self) -> None:
        """Deliver everything that needs no time."""
        for _ in range(4):
            for pipe in self.pipes:
                pipe.pump()
            self.reactor.advance(0)

    def advance(self, seconds: float, step: float = 0.025) -> None:
        """Let time pass, delivering as it does."""
        for _ in range(round(seconds / step)):
            self.reactor.advance(step)
            self.settle()

    def runs(self) -> int:
        """Return how many requests reached the backend server."""
        return sum(each.requests for each in self.reactor.connections)

    def _connect(self, number: int) -> Pipe:
        entry = _create_dispatch(f'entry-{number}', Role.entry)
        return Pipe(self.reactor, entry, self.dispatch)

    def _tick(self) -> None:
        for backend in self.backends.all_backends():
            backend.review(self.reactor.seconds())


def _create_dispatch(name: str, role: Role) -> Dispatch:
    hello = Hello(name=name, role=role, incarnation='i', protocol_version=1)
    return Dispatch(hello=hello)

"""An entry with real agents, whose backend servers some requests crash."""

from pathlib import Path
from typing import Any

from twisted.internet import error as tcp_errors
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from tests.connection.fakes import Pipe
from tests.process.agent.fakes import ANSWER, BackendEnd
from tests.process.entry.fakes import SERVICE, EntryHarness, FakePool
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.ids import DataCentre, IncarnationId, InstanceName
from wasabiturn.messages.kinds import Role
from wasabiturn.messages.link import Hello
from wasabiturn.messages.session import BackendRecord
from wasabiturn.process.agent.backends import Backends
from wasabiturn.process.agent.request_server import RequestServer
from wasabiturn.request.health import AgentHealth
from wasabiturn.request.load import AgentLoad
from wasabiturn.request.routing import Candidate

DEADLY = b'/deadly'
SLOTS = 8
AGENTS = 8
SETTLE_ROUNDS = 12


class BackendServer:
    """Reactor of one agent, connected to its fake backend server.

    The server dies of each request for ``/deadly``, unless ``only_cuts``: then
    it closes the connection that brought the request and goes on.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.seconds = clock.seconds
        self.callLater = clock.callLater
        self.is_dead = False
        self.only_cuts = False
        self.crashes = 0
        self.connections: list[BackendEnd] = []

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float
    ) -> None:
        self.callLater(0, self._connect, factory)

    def work(self) -> None:
        """Die of a deadly request that has arrived."""
        for each in self.connections:
            is_deadly = not each.is_lost and DEADLY in each.received
            if is_deadly and self.only_cuts:
                each.lose()
            elif is_deadly:
                self.crash()

    def crash(self) -> None:
        self.is_dead = True
        self.crashes += 1
        for each in self.connections:
            each.lose()
        self.connections.clear()

    def answer(self) -> None:
        for each in self.connections:
            if each.requests > each.answered:
                each.answer(ANSWER)

    def waiting(self) -> int:
        return sum(each.requests - each.answered for each in self.connections)

    def _connect(self, factory: Any) -> None:
        if self.is_dead:
            error = tcp_errors.ConnectionRefusedError(string='refused')
            factory.clientConnectionFailed(None, Failure(error))
        else:
            self.connections.append(BackendEnd(self.clock, factory))


class CrashableAgent:
    """Real agent, linked to the entry, beside a fake backend server."""

    def __init__(self, number: int, clock: Clock, entry: Dispatch) -> None:
        self.name = InstanceName(f'agent-{number}')
        self.server = BackendServer(clock)
        self.record = BackendRecord(
            service_name=SERVICE,
            slots=SLOTS,
            connections=SLOTS,
            address='127.0.0.1:8080',
            incarnation='first',
        )
        self.backends = Backends(reactor=self.server)
        self.backends.announce(self.record)
        hello = Hello(
            name=self.name,
            role=Role.agent,
            incarnation='a1',
            protocol_version=1,
        )
        dispatch = Dispatch(hello=hello)
        requests = RequestServer(
            self.backends, self.server, IncarnationId('a1')
        )
        requests.register(dispatch)
        self.pipe = Pipe(clock, entry, dispatch)
        self.candidate = Candidate(
            name=self.name,
            data_centre=DataCentre('dc-a'),
            load=AgentLoad(slots=SLOTS),
            health=AgentHealth(first_seen=-100),
        )


class AnnouncedPool(FakePool):
    """Pool of the agents that announce a backend server."""

    def find_candidates(self, service_name: Any) -> list[Candidate]:
        found = super().find_candidates(service_name)
        announced = [bool(each.backends.records()) for each in self.all_real()]
        return [
            each for each, known in zip(found, announced, strict=True) if known
        ]

    def all_real(self) -> list[Any]:
        return list(self.agents)


class CrashHarness(EntryHarness):
    """Entry with real agents, each beside a fake backend server."""

    def __init__(self, folder: Path, agents: int = AGENTS) -> None:
        super().__init__(folder, agents=0)
        pool: Any = AnnouncedPool()
        pool.agents = [
            CrashableAgent(number, self.clock, self.dispatch)
            for number in range(agents)
        ]
        self.pool = pool
        self.router.pool = pool

    @property
    def servers(self) -> list[BackendServer]:
        return [agent.server for agent in self.real_agents()]

    def real_agents(self) -> list[Any]:
        return list(self.pool.agents)

    def busy_agent(self) -> Any:
        """Return an agent whose server has a request to answer."""
        return next(
            each for each in self.real_agents() if each.server.waiting()
        )

    def pump(self) -> None:
        """Deliver all messages, and let the servers die of their requests."""
        for _ in range(SETTLE_ROUNDS):
            for agent in self.real_agents():
                agent.pipe.pump()
            self.clock.advance(0)
            for server in self.servers:
                server.work()

    def crashes(self) -> int:
        return sum(server.crashes for server in self.servers)

    def answer_all(self) -> None:
        for server in self.servers:
            server.answer()
        self.pump()

"""Harness for an entry with fake callers, agents, control group and clock."""

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from tests.connection.fakes import Pipe
from wasabiturn.conf.reader import read_settings
from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.connection.streams import Stream
from wasabiturn.ids import ClaimId, DataCentre, InstanceName, ServiceName
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import (
    AgentClaimState,
    FailureCode,
    Kind,
    Method,
    OutcomeCode,
    Role,
    Verdict,
)
from wasabiturn.messages.link import Hello
from wasabiturn.messages.session import (
    ClaimLookup,
    ClaimVerdict,
    LoadReport,
    RefuseClaim,
    RequestHead,
    ResponseHead,
)
from wasabiturn.messages.state import (
    ClaimRequests,
    Command,
    Header,
    RecordAnswers,
)
from wasabiturn.process.entry.claim_calls import ClaimCalls
from wasabiturn.process.entry.front import CallerFactory
from wasabiturn.process.entry.memory_room import MemoryRoom
from wasabiturn.process.entry.readiness import Readiness
from wasabiturn.process.entry.requests import RequestAdmission
from wasabiturn.process.entry.router import Router
from wasabiturn.request.agent_claims import AgentClaims
from wasabiturn.request.health import AgentHealth
from wasabiturn.request.load import AgentLoad
from wasabiturn.request.routing import Candidate
from wasabiturn.version.apply import apply_command
from wasabiturn.version.apply_claims import claim_key
from wasabiturn.version.state import create_state

SERVICE = ServiceName('standdesk')
SETTINGS = """
[instance]
name = {name}
data_centre = dc-a

[entry]
listen = 127.0.0.1:1
api_listen = 127.0.0.1:2
control = 127.0.0.1:3
max_body_bytes = 1000000
"""


class FakeRequest:
    """Request that an agent received, with the agent's end of its stream."""

    def __init__(
        self, head: RequestHead, stream: Stream, core: 'AgentCore'
    ) -> None:
        self.core = core
        self.head = head
        self.stream = stream
        self.body = b''
        self.ended = False
        self.reset_reason: str | None = None
        self.hold_credit = False
        self.held_credit = 0
        stream.attach(self)

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk
        self.held_credit += len(chunk)
        if not self.hold_credit:
            self.release_credit()

    def release_credit(self) -> None:
        self.hold_credit = False
        self.stream.consumed(self.held_credit)
        self.held_credit = 0

    def end_received(self) -> None:
        self.ended = True

    def reset_received(self, reason: str) -> None:
        self.reset_reason = reason

    def writable(self) -> None:
        pass

    def answer(
        self,
        body: bytes,
        status: int = 200,
        headers: tuple[Header, ...] = (),
    ) -> None:
        self.begin(status, headers)
        if body:
            self.stream.write(body)
        self.stream.end()

    def begin(
        self, status: int = 200, headers: tuple[Header, ...] = ()
    ) -> None:
        head = ResponseHead(
            verdict=Verdict.answered,
            status=status,
            headers=list(headers),
            load=LoadReport(service_name=SERVICE, slots=8, mean_service_ms=5),
        )
        self.stream.write(pack(head))

    def refuse(
        self, verdict: Verdict, reason: str, retry_ms: float = 0
    ) -> None:
        head = ResponseHead(
            verdict=verdict, reason=reason, retry_after_ms=retry_ms
        )
        self.stream.write(pack(head))
        self.stream.end()


class AgentCore:
    """State of one agent, shared by its links to all entries."""

    def __init__(self, name: str) -> None:
        self.name = InstanceName(name)
        self.incarnation = f'{name}-1'
        self.requests: list[FakeRequest] = []
        self.claims = AgentClaims()

    def restart(self) -> None:
        self.incarnation = f'{self.name}-2'
        self.claims = AgentClaims()

    def serve(self, link: Link, head: RequestHead, stream: Stream) -> None:
        request = FakeRequest(head, stream, self)
        verdict = None
        if head.claim_id:
            verdict = self.claims.admit(ClaimId(head.claim_id))
        if verdict is None:
            self.requests.append(request)
        else:
            request.refuse(verdict, 'claim may not run here')

    def refuse_claim(self, link: Link, message: RefuseClaim) -> ClaimVerdict:
        if message.agent_incarnation != self.incarnation:
            return ClaimVerdict(state=AgentClaimState.unknown)
        state = self.claims.refuse(ClaimId(message.claim_id))
        return ClaimVerdict(state=state)


class FakeAgent:
    """Link from one entry to one agent, with the entry's candidate."""

    def __init__(self, clock: Clock, core: AgentCore, entry: Dispatch) -> None:
        self.core = core
        self.name = core.name
        dispatch = Dispatch(
            hello=Hello(
                name=core.name,
                role=Role.agent,
                incarnation=core.incarnation,
                protocol_version=1,
            ),
        )
        dispatch.handle_stream(Method.serve, RequestHead, core.serve)
        dispatch.handle(Method.refuse_claim, RefuseClaim, core.refuse_claim)
        self.pipe = Pipe(clock, entry, dispatch)
        self.candidate = Candidate(
            name=self.name,
            data_centre=DataCentre('dc-a'),
            load=AgentLoad(slots=8),
            health=AgentHealth(first_seen=-100),
        )

    @property
    def requests(self) -> list[FakeRequest]:
        return self.core.requests

    def lose_link(self) -> None:
        self.pipe.left.abort('link closed by the test')
        self.pipe.pump()


class FakePool:
    """Pool with a fixed list of agents."""

    def __init__(self) -> None:
        self.agents: list[FakeAgent] = []

    def has_service(self, service_name: ServiceName) -> bool:
        return service_name == SERVICE

    def find_candidates(self, service_name: ServiceName) -> list[Candidate]:
        for agent in self.agents:
            agent.candidate.reachable = agent.pipe.left.is_open
        return [agent.candidate for agent in self.agents]

    def find_link(self, name: InstanceName) -> Link | None:
        for agent in self.agents:
            if agent.name == name and agent.pipe.left.is_open:
                return agent.pipe.left
        return None

    def close_unused_links(self) -> None:
        pass


class FakeView:
    def __init__(self) -> None:
        self.revision = 1
        self.resources_by_kind: dict[Kind, dict[str, Any]] = {
            kind: {} for kind in Kind
        }
        self.agents_by_name: dict[str, Any] = {}


class FakeSession:
    """Session whose leader applies commands at once.

    Calls fail with ``failure`` if it is set. If ``held_replies`` is a list,
    each call adds a Deferred to it, for the test to fire. If ``held_answers``
    is a list, records of outcomes fail at once, and are kept in it until the
    test has them carried out late.
    """

    def __init__(self) -> None:
        self.view = FakeView()
        self.on_change: list[Callable[[], None]] = []
        self.fresh = True
        self.failure: FailureCode | None = None
        self.state = create_state()
        self.held_replies: list[Deferred[Any]] | None = None
        self.held_answers: list[Any] | None = None

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def is_fresh(self, now: float) -> bool:
        return self.fresh

    def call_leader(
        self,
        method: Method,
        message: Any,
        reply_class: type,
        timeout_seconds: float,
    ) -> Deferred[Any]:
        if self.failure is FailureCode.unavailable:
            return fail(CallError(self.failure, 'no leader'))
        if method is Method.record_answer and self.held_answers is not None:
            self.held_answers.append(message)
            return fail(self.create_error(FailureCode.outcome_unknown))
        reply = self._run(method, message)
        if self.failure is not None:
            return fail(CallError(self.failure, 'no answer'))
        if isinstance(reply, CallError):
            return fail(reply)
        if self.held_replies is not None:
            waiting: Deferred[Any] = Deferred()
            waiting.addCallback(lambda _: reply)
            self.held_replies.append(waiting)
            return waiting
        return succeed(reply)

    def release_answers(self) -> None:
        """Carry out the records that got no answer."""
        held_answers, self.held_answers = self.held_answers or [], None
        for message in held_answers:
            self._run(Method.record_answer, message)

    def create_error(self, code: FailureCode) -> CallError:
        return CallError(code, 'no answer')

    def _run(self, method: Method, message: Any) -> Any:
        if method is Method.look_up_claim:
            key = claim_key(message.service_name, message.key)
            return ClaimLookup(record=self.state.claims_by_key.get(key))
        if method is Method.claim:
            command = Command(claim=ClaimRequests(claims=[message]))
        else:
            command = Command(record=RecordAnswers(answers=[message]))
        outcome = apply_command(self.state, command).outcome
        if outcome.codes[0] != OutcomeCode.ok:
            return CallError(FailureCode.invalid, 'refused')
        return outcome.claims[0]


class FakeCaller:
    """Connection of a caller."""

    def __init__(self, harness: 'EntryHarness') -> None:
        self.harness = harness
        self.transport = CallerTransport()
        self.channel = harness.factory.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def send(self, text: str | bytes) -> 'FakeCaller':
        data = text.encode('latin-1') if isinstance(text, str) else text
        self.channel.dataReceived(data)
        self.harness.pump()
        if self.is_aborted:
            self.hang_up()
        return self

    def hang_up(self) -> None:
        self.channel.connectionLost(Failure(ConnectionDone()))
        self.harness.pump()

    @property
    def received(self) -> str:
        return self.transport.value().decode('latin-1')

    @property
    def is_closed(self) -> bool:
        return self.transport.disconnecting

    @property
    def is_aborted(self) -> bool:
        return self.transport.disconnected


class CallerTransport(StringTransport):
    """Transport that distinguishes an abort from an orderly close."""

    def __init__(self) -> None:
        super().__init__(peerAddress=IPv4Address('TCP', '192.0.2.9', 40000))

    def abortConnection(self) -> None:
        self.disconnected = True


class EntryHarness:
    """Entry with fake agents and a fake session.

    With ``peer``, it shares the clock, session and agents of another entry.
    """

    def __init__(
        self,
        folder: Path,
        agents: int = 2,
        name: str = 'entry-1',
        peer: 'EntryHarness | None' = None,
    ) -> None:
        self.clock = Clock() if peer is None else peer.clock
        self.session = FakeSession() if peer is None else peer.session
        self.dispatch = Dispatch(
            hello=Hello(name=name, role=Role.entry, protocol_version=1),
        )
        self.pool = FakePool()
        names = [f'agent-{number}' for number in range(1, agents + 1)]
        cores = (
            [AgentCore(each) for each in names]
            if peer is None
            else [agent.core for agent in peer.pool.agents]
        )
        self.pool.agents = [
            FakeAgent(self.clock, core, self.dispatch) for core in cores
        ]
        source = folder / f'{name}.ini'
        source.write_text(SETTINGS.format(name=name))
        self.settings = read_settings(source)
        assert self.settings.entry is not None
        pool: Any = self.pool
        self.body_room = MemoryRoom(10_000_000)
        self.router = Router(pool, DataCentre('dc-a'), self.clock, Random(7))
        self.admission = RequestAdmission(
            InstanceName(name),
            self.settings.entry,
            Readiness(self.session, self.clock),
            self.router,
            ClaimCalls(self.session, name, 'first'),
            self.body_room,
        )
        self.factory = CallerFactory(self.clock, self.admission.create_handler)

    def pump(self) -> None:
        """Deliver all messages, including replies to those delivered."""
        for agent in self.pool.agents * 2:
            agent.pipe.pump()

    def advance(self, seconds: float, step: float = 0.05) -> None:
        elapsed = 0.0
        while elapsed < seconds:
            self.clock.advance(step)
            self.pump()
            elapsed += step

    def call(self, text: str | bytes) -> FakeCaller:
        return FakeCaller(self).send(text)

    def requests(self) -> list[FakeRequest]:
        return [
            request for agent in self.pool.agents for request in agent.requests
        ]

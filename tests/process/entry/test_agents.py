"""Tests of the links to agents and of the candidates."""

from random import Random
from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from tests.process.entry.fakes import FakeSession
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.frames import encode_frame
from wasabiturn.ids import InstanceName, ServiceName
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import FrameKind, Kind, Role
from wasabiturn.messages.link import Frame, Hello
from wasabiturn.messages.session import AgentRecord, BackendRecord
from wasabiturn.messages.state import DataCentreSpec, Resource
from wasabiturn.process.entry.agents import MAX_SILENCE_SECONDS, AgentPool
from wasabiturn.request.load import record_done, record_sent

SERVICE = ServiceName('standdesk')
AGENT = InstanceName('agent-1')


def record(
    name: str = 'agent-1',
    incarnation: str = 'first',
    *,
    leaving: bool = False,
    backend_leaving: bool = False,
) -> AgentRecord:
    return AgentRecord(
        name=name,
        incarnation=incarnation,
        data_centre='dc-a',
        address='127.0.0.1:7131',
        leaving=leaving,
        backends=[
            BackendRecord(
                service_name=SERVICE,
                slots=8,
                connections=64,
                leaving=backend_leaving,
            ),
        ],
    )


class PoolHarness:
    """Pool with a fake reactor, whose connections the test accepts."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.session = FakeSession()
        dispatch = Dispatch(
            hello=Hello(name='entry-1', role=Role.entry, protocol_version=1),
        )
        self.pool = AgentPool(self.session, dispatch, self.reactor, Random(1))

    def set_agents(self, *records: AgentRecord) -> None:
        self.session.view.agents_by_name = {each.name: each for each in records}
        self.pool.refresh()

    def accept(self) -> Any:
        """Open the newest connection and send the agent's Hello message."""
        factory = self.reactor.tcpClients[-1][2]
        link = factory.buildProtocol(None)
        transport = _Transport()
        link.makeConnection(transport)
        hello = pack(Hello(name='agent-1', role=Role.agent, protocol_version=1))
        frame = Frame(kind=FrameKind.hello, body=hello)
        link.dataReceived(encode_frame(pack(frame)))
        return transport

    def list_reachable(self) -> list[str]:
        found = self.pool.find_candidates(SERVICE)
        return [each.name for each in found if each.reachable]


class _Transport:
    def __init__(self) -> None:
        self.written = b''

    def write(self, data: bytes) -> None:
        self.written += data


@pytest.fixture
def harness() -> PoolHarness:
    return PoolHarness()


def test_agent_is_reachable_once_its_link_is_open(harness: PoolHarness) -> None:
    harness.set_agents(record())
    assert harness.pool.has_service(SERVICE)
    assert not harness.list_reachable()
    harness.accept()
    assert harness.list_reachable() == [AGENT]


def test_silent_agent_gets_no_new_requests(harness: PoolHarness) -> None:
    harness.set_agents(record())
    harness.accept()
    harness.reactor.advance(MAX_SILENCE_SECONDS)
    assert not harness.list_reachable()


@pytest.mark.parametrize(
    'changed',
    [record(leaving=True), record(backend_leaving=True)],
)
def test_leaving_agent_gets_no_new_requests(
    harness: PoolHarness, changed: AgentRecord
) -> None:
    harness.set_agents(record())
    harness.accept()
    harness.set_agents(changed)
    assert not harness.pool.find_candidates(SERVICE)
    harness.set_agents(record())
    assert harness.list_reachable() == [AGENT]


def test_data_centre_taken_out_gets_no_new_requests(
    harness: PoolHarness,
) -> None:
    harness.set_agents(record())
    harness.accept()
    centres = harness.session.view.resources_by_kind[Kind.data_centre]
    centres['dc-a'] = Resource(data_centre_spec=DataCentreSpec(out=True))
    harness.pool.refresh()
    assert not harness.pool.find_candidates(SERVICE)
    centres['dc-a'] = Resource(data_centre_spec=DataCentreSpec(out=False))
    harness.pool.refresh()
    assert harness.list_reachable() == [AGENT]


def test_restarted_agent_gets_new_link(harness: PoolHarness) -> None:
    harness.set_agents(record())
    harness.accept()
    harness.set_agents(record(incarnation='second'))
    assert len(harness.reactor.tcpClients) == 2
    assert not harness.list_reachable()


def test_removed_agent_keeps_its_link_while_requests_are_in_flight(
    harness: PoolHarness,
) -> None:
    harness.set_agents(record())
    harness.accept()
    closed: list[str] = []
    connector = harness.reactor.connectors[-1]
    connector.disconnect = lambda: closed.append('closed')
    (candidate,) = harness.pool.find_candidates(SERVICE)
    record_sent(candidate.load, 0)
    harness.set_agents()
    assert not harness.pool.find_candidates(SERVICE)
    assert harness.pool.count_in_flight() == 1
    assert not closed
    record_done(candidate.load)
    harness.pool.close_unused_links()
    assert harness.pool.count_in_flight() == 0
    assert closed == ['closed']

"""Links to the agents of the view."""

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
from wasabiturn.process.entry.agents import QUIET_LIMIT_SECONDS, AgentPool
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


class Bed:
    """A pool whose dialled connections the test answers."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.session = FakeSession()
        dispatch = Dispatch(
            hello=Hello(name='entry-1', role=Role.entry, protocol_version=1),
        )
        self.pool = AgentPool(self.session, dispatch, self.reactor, Random(1))

    def show(self, *records: AgentRecord) -> None:
        self.session.view.agents_by_name = {each.name: each for each in records}
        self.pool.refresh()

    def accept(self) -> Any:
        """Open the newest connection and greet as the agent does."""
        factory = self.reactor.tcpClients[-1][2]
        link = factory.buildProtocol(None)
        transport = _Transport()
        link.makeConnection(transport)
        hello = pack(Hello(name='agent-1', role=Role.agent, protocol_version=1))
        frame = Frame(kind=FrameKind.hello, body=hello)
        link.dataReceived(encode_frame(pack(frame)))
        return transport

    def usable(self) -> list[str]:
        found = self.pool.find_candidates(SERVICE)
        return [each.name for each in found if each.reachable]


class _Transport:
    def __init__(self) -> None:
        self.written = b''

    def write(self, data: bytes) -> None:
        self.written += data


@pytest.fixture
def bed() -> Bed:
    return Bed()


def test_agent_is_usable_once_its_link_is_open(bed: Bed) -> None:
    bed.show(record())
    assert bed.pool.knows(SERVICE)
    assert not bed.usable()
    bed.accept()
    assert bed.usable() == [AGENT]


def test_silent_agent_gets_nothing_new(bed: Bed) -> None:
    bed.show(record())
    bed.accept()
    bed.reactor.advance(QUIET_LIMIT_SECONDS)
    assert not bed.usable()


@pytest.mark.parametrize(
    'changed',
    [record(leaving=True), record(backend_leaving=True)],
)
def test_leaving_is_followed_at_once(bed: Bed, changed: AgentRecord) -> None:
    bed.show(record())
    bed.accept()
    bed.show(changed)
    assert not bed.pool.find_candidates(SERVICE)
    bed.show(record())
    assert bed.usable() == [AGENT]


def test_data_centre_that_is_out_gets_nothing_new(bed: Bed) -> None:
    bed.show(record())
    bed.accept()
    centres = bed.session.view.resources_by_kind[Kind.data_centre]
    centres['dc-a'] = Resource(data_centre_spec=DataCentreSpec(out=True))
    bed.pool.refresh()
    assert not bed.pool.find_candidates(SERVICE)
    centres['dc-a'] = Resource(data_centre_spec=DataCentreSpec(out=False))
    bed.pool.refresh()
    assert bed.usable() == [AGENT]


def test_restarted_agent_is_dialled_anew(bed: Bed) -> None:
    bed.show(record())
    bed.accept()
    bed.show(record(incarnation='second'))
    assert len(bed.reactor.tcpClients) == 2
    assert not bed.usable()


def test_agent_that_is_gone_keeps_its_link_for_what_is_in_flight(
    bed: Bed,
) -> None:
    bed.show(record())
    bed.accept()
    closed: list[str] = []
    connector = bed.reactor.connectors[-1]
    connector.disconnect = lambda: closed.append('closed')
    (candidate,) = bed.pool.find_candidates(SERVICE)
    record_sent(candidate.load, 0)
    bed.show()
    assert not bed.pool.find_candidates(SERVICE)
    assert bed.pool.count_in_flight() == 1
    assert not closed
    record_done(candidate.load)
    bed.pool.release()
    assert bed.pool.count_in_flight() == 0
    assert closed == ['closed']

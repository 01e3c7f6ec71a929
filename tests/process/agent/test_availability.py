"""Refusal of new work while an agent stops or its data centre is out."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

from tests.process.agent.fakes import ANSWER, AgentHarness, EntryStream
from wasabiturn.conf.reader import read_settings
from wasabiturn.conf.sections import Settings
from wasabiturn.ids import IncarnationId
from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.session import AgentRecord
from wasabiturn.messages.state import DataCentreSpec, Resource
from wasabiturn.process.agent.availability import Availability
from wasabiturn.process.agent.directory_record import RecordBuilder
from wasabiturn.version.view import View

AGENT_SETTINGS = Path('examples/loopback/agent-1.ini')


@attrs.define
class FakeSession:
    view: View = attrs.field(factory=View)
    on_change: list[Callable[[], None]] = attrs.field(factory=list)
    records: list[AgentRecord] = attrs.field(factory=list)

    def announce(self, record: AgentRecord) -> None:
        self.records.append(record)

    def take_out(self, data_centre: str, out: bool) -> None:
        resource = Resource(
            kind=Kind.data_centre,
            name=data_centre,
            data_centre_spec=DataCentreSpec(out=out),
        )
        known = self.view.resources_by_kind[Kind.data_centre]
        known[data_centre] = resource
        for callback in self.on_change:
            callback()


class AvailabilityHarness:
    def __init__(self) -> None:
        self.agent = AgentHarness(slots=1)
        self.session = FakeSession()
        self.drained: list[Any] = []
        settings: Settings = read_settings(AGENT_SETTINGS)
        self.availability = Availability(
            session=self.session,
            backends=self.agent.backends,
            request_server=self.agent.request_server,
            record_builder=RecordBuilder(
                settings,
                IncarnationId('a1'),
                self.agent.backends,
            ),
            reactor=self.agent.reactor,
        )
        self.availability.register(self.agent.dispatch)
        self.agent.pipes[0].right.on_open.clear()
        for link in (pipe.right for pipe in self.agent.pipes):
            self.availability._add_link(link)

    def drain(self) -> None:
        drained = self.availability.drain(limit_seconds=30.0)
        drained.addCallback(self.drained.append)
        self.agent.settle()

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.agent.advance(0.1)
            self.availability.flush_if_idle()


def send_get(harness: AgentHarness) -> EntryStream:
    return harness.request(method='GET', idempotent=True)


def test_data_centre_out_of_service_gets_no_new_work() -> None:
    harness = AvailabilityHarness()
    running = send_get(harness.agent)
    queued = send_get(harness.agent)
    harness.session.take_out('dc-a', out=True)
    harness.agent.settle()
    refused = send_get(harness.agent)
    harness.agent.reactor.connections[0].send(ANSWER)
    harness.agent.settle()
    assert queued.events == ['not_run 0', 'end after 0 bytes']
    assert refused.events == ['not_run 0', 'end after 0 bytes']
    assert running.events == ['answered 200', 'end after 6 bytes']
    assert harness.session.records[-1].leaving
    harness.session.take_out('dc-a', out=False)
    assert not harness.session.records[-1].leaving
    send_get(harness.agent)
    assert harness.agent.runs() == 2


def test_other_data_centre_out_of_service_has_no_effect() -> None:
    harness = AvailabilityHarness()
    announced = len(harness.session.records)
    harness.session.take_out('dc-b', out=True)
    send_get(harness.agent)
    assert harness.agent.runs() == 1
    assert len(harness.session.records) == announced


def test_stop_ends_no_request_and_is_announced_at_once() -> None:
    harness = AvailabilityHarness()
    running = send_get(harness.agent)
    harness.drain()
    assert harness.session.records[-1].leaving
    refused = send_get(harness.agent)
    assert refused.events == ['not_run 0', 'end after 0 bytes']
    harness.advance(3.0)
    assert not harness.drained
    harness.agent.reactor.connections[0].send(ANSWER)
    harness.agent.settle()
    harness.advance(1.5)
    assert running.events == ['answered 200', 'end after 6 bytes']
    assert harness.drained == [None]


def test_leaving_backend_server_is_announced_and_gets_no_requests() -> None:
    harness = AvailabilityHarness()
    record = attrs.evolve(harness.agent.record, leaving=True)
    harness.agent.backends.announce(record)
    assert harness.session.records[-1].backends[0].leaving
    refused = send_get(harness.agent)
    assert refused.events == ['not_run 0', 'end after 0 bytes']

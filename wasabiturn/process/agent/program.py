"""Assembly of the agent program from its parts."""

from contextlib import ExitStack
from typing import Any, cast, final
from uuid import uuid4

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from wasabiturn.conf import Settings
from wasabiturn.conf.sections import AgentSection
from wasabiturn.connection.dialer import LinkFactory
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.ids import IncarnationId
from wasabiturn.messages.kinds import Role
from wasabiturn.messages.link import Hello
from wasabiturn.process.agent.announcements import (
    EXPIRY_SECONDS,
    create_announcement_site,
)
from wasabiturn.process.agent.backends import Backends
from wasabiturn.process.agent.directory_record import RecordSource
from wasabiturn.process.agent.serving import Serving
from wasabiturn.process.daemon import Context, listen
from wasabiturn.utils.logs import create_part_log

REVIEW_SECONDS = 0.025

_log = create_part_log('agent')


@final
@attrs.define
class AgentProgram:
    """The agent program of one process."""

    context: Context
    section: AgentSection
    dispatch: Dispatch
    backends: Backends
    serving: Serving
    record_source: RecordSource
    _stack: ExitStack = attrs.field(factory=ExitStack)
    _drained: Deferred[None] = attrs.field(factory=Deferred)
    _ticker: Any = None

    def start(self) -> None:
        """Open ports and begin to work."""
        reactor = self.context.reactor
        self.serving.register(self.dispatch)
        links = LinkFactory(self.dispatch, reactor, dialled=False)
        site = create_announcement_site(self.backends.announce)
        self._listen(self.section.listen, links)
        self._listen(self.section.announce_listen, site)
        self.backends.on_change.append(self._publish)
        self._ticker = LoopingCall(self._review)
        self._ticker.clock = reactor
        self._ticker.start(REVIEW_SECONDS, now=False)
        self._stack.callback(self._ticker.stop)

    def drain(self) -> Deferred[None]:
        """Refuse new work; fires once no request is in flight."""
        self.serving.closed_because = 'agent is leaving'
        self.record_source.leaving = True
        for backend in self.backends.all_backends():
            backend.refuse_waiting('agent is leaving')
        self._publish()
        limit = self.section.drain_seconds
        self.context.reactor.callLater(limit, self._finish_drain)
        self._check_drained()
        return self._drained

    def close(self) -> None:
        """Release ports and files."""
        self._stack.close()

    def _listen(self, endpoint: Any, factory: Any) -> None:
        port = listen(self.context.reactor, endpoint, factory)
        self._stack.callback(port.stopListening)

    def _publish(self) -> None:
        record = self.record_source.build()
        _log.event(
            'record changed',
            backends=len(record.backends),
            leaving=record.leaving,
        )

    def _review(self) -> None:
        now = self.context.reactor.seconds()
        for backend in self.backends.all_backends():
            backend.review(now)
        self.backends.expire(now, EXPIRY_SECONDS)
        if self.record_source.leaving:
            self._check_drained()

    def _check_drained(self) -> None:
        if not self.backends.in_flight():
            self._finish_drain()

    def _finish_drain(self) -> None:
        if not self._drained.called:
            self._drained.callback(None)


def create_agent(context: Context) -> AgentProgram:
    """Create the agent program from the settings of ``context``."""
    settings = context.settings
    incarnation = IncarnationId(uuid4().hex)
    backends = Backends(reactor=context.reactor)
    return AgentProgram(
        context=context,
        section=cast(AgentSection, settings.agent),
        dispatch=Dispatch(hello=_create_hello(settings, incarnation)),
        backends=backends,
        serving=Serving(backends, context.reactor, incarnation),
        record_source=RecordSource(settings, incarnation, backends),
    )


def _create_hello(settings: Settings, incarnation: IncarnationId) -> Hello:
    return Hello(
        name=settings.instance.name,
        role=Role.agent,
        incarnation=incarnation,
        data_centre=settings.instance.data_centre,
        protocol_version=PROTOCOL_VERSION,
    )

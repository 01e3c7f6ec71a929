"""The agent program and its assembly from settings."""

from contextlib import ExitStack
from random import Random
from typing import Any, cast, final
from uuid import uuid4

import attrs
from twisted.internet.defer import Deferred, gatherResults

from wasabiturn.conf.sections import AgentSection, Settings
from wasabiturn.connection.dialer import LinkFactory
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.ids import IncarnationId
from wasabiturn.messages.kinds import Kind, Role
from wasabiturn.messages.link import Hello
from wasabiturn.process.agent.announcements import (
    ANNOUNCEMENT_EXPIRY_SECONDS,
    create_announcement_site,
)
from wasabiturn.process.agent.attempt_manager import (
    AttemptManager,
    create_attempt_manager,
)
from wasabiturn.process.agent.availability import Availability
from wasabiturn.process.agent.backends import Backends
from wasabiturn.process.agent.directory_record import RecordBuilder
from wasabiturn.process.agent.metrics import create_agent_metrics
from wasabiturn.process.agent.request_server import RequestServer
from wasabiturn.process.daemon import Component, Context, listen
from wasabiturn.process.guards import create_guard
from wasabiturn.process.session import ControlSession, create_control_session
from wasabiturn.utils.ticker import Ticker

CHECK_INTERVAL_SECONDS = 0.025


@final
@attrs.define
class AgentProgram:
    """The agent program of one process.

    ``parts`` are started once the ports are open, and are drained and closed
    with the program.
    """

    context: Context
    section: AgentSection
    dispatch: Dispatch
    session: ControlSession
    backends: Backends
    request_server: RequestServer
    availability: Availability
    parts: list[Component]
    _stack: ExitStack = attrs.field(factory=ExitStack)

    def start(self) -> None:
        """Open ports and begin to work."""
        reactor = self.context.reactor
        self.request_server.register(self.dispatch)
        links = LinkFactory(
            self.dispatch,
            reactor,
            dialled=False,
            guard=create_guard(self.context),
        )
        site = create_announcement_site(self.backends.announce)
        self._listen(self.section.listen, links)
        self._listen(self.section.announce_listen, site)
        self.availability.register(self.dispatch)
        self._stack.callback(self.session.stop)
        self.session.start()
        self._start_checks()
        for part in self.parts:
            self._stack.callback(part.close)
            part.start()

    def drain(self) -> Deferred[None]:
        """Refuse new work; fires once no request is in flight."""
        drained: list[Deferred[None]] = [part.drain() for part in self.parts]
        drained.append(self.availability.drain(self.section.drain_seconds))
        settled = gatherResults(drained, consumeErrors=True)
        return settled.addCallback(lambda _: None)

    def close(self) -> None:
        """Release ports and files."""
        self._stack.close()

    def _listen(self, endpoint: Any, factory: Any) -> None:
        port = listen(self.context.reactor, endpoint, factory)
        self._stack.callback(port.stopListening)

    def _start_checks(self) -> None:
        ticker = Ticker(self._run_checks, self.context.reactor)
        ticker.start(CHECK_INTERVAL_SECONDS, now=False)
        self._stack.callback(ticker.stop)

    def _run_checks(self) -> None:
        now = self.context.reactor.seconds()
        for backend in self.backends.all_backends():
            backend.check_requests(now)
        self.backends.expire(now, ANNOUNCEMENT_EXPIRY_SECONDS)
        self.availability.flush_if_idle()


def create_agent(context: Context) -> AgentProgram:
    """Create the agent program from the settings of ``context``."""
    settings = context.settings
    section = cast(AgentSection, settings.agent)
    incarnation = IncarnationId(uuid4().hex)
    dispatch = Dispatch(hello=_create_hello(settings, incarnation))
    session = create_control_session(
        endpoints=section.control,
        dispatch=dispatch,
        reactor=context.reactor,
        random=Random(incarnation),
        kinds=(Kind.data_centre,),
        directory=False,
    )
    backends = Backends(reactor=context.reactor)
    request_server = RequestServer(backends, context.reactor, incarnation)
    return AgentProgram(
        context=context,
        section=section,
        dispatch=dispatch,
        session=session,
        backends=backends,
        request_server=request_server,
        availability=Availability(
            session=session,
            backends=backends,
            request_server=request_server,
            record_builder=RecordBuilder(settings, incarnation, backends),
            reactor=context.reactor,
        ),
        parts=_create_parts(context, session, dispatch, backends),
    )


def _create_parts(
    context: Context,
    session: ControlSession,
    dispatch: Dispatch,
    backends: Backends,
) -> list[Component]:
    section = context.settings.agent
    sampler = create_agent_metrics(context, backends)
    if section is None or section.worker_url is None:
        return [sampler]
    attempts: AttemptManager = create_attempt_manager(
        context, session, dispatch
    )
    attempts.service_reports = backends.reports
    return [attempts, sampler]


def _create_hello(settings: Settings, incarnation: IncarnationId) -> Hello:
    return Hello(
        name=settings.instance.name,
        role=Role.agent,
        incarnation=incarnation,
        data_centre=settings.instance.data_centre,
        protocol_version=PROTOCOL_VERSION,
    )

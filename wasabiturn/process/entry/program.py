"""Creation of the entry program from its parts."""

import uuid
from contextlib import ExitStack
from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred

from wasabiturn.conf.sections import EntrySection
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.exceptions import ProcessError
from wasabiturn.ids import DataCentre, InstanceName
from wasabiturn.messages.kinds import Kind, Role
from wasabiturn.messages.link import Hello
from wasabiturn.process.daemon import Component, Context, listen
from wasabiturn.process.entry.agents import AgentPool
from wasabiturn.process.entry.api_relay import create_api_relay
from wasabiturn.process.entry.claim_calls import ClaimCalls
from wasabiturn.process.entry.draining import Drainer
from wasabiturn.process.entry.front import create_caller_factory
from wasabiturn.process.entry.memory_room import create_body_room
from wasabiturn.process.entry.readiness import Readiness
from wasabiturn.process.entry.requests import RequestAdmission
from wasabiturn.process.entry.router import Router
from wasabiturn.process.entry.session import EntrySession
from wasabiturn.process.session import create_control_session

SUBSCRIBED_KINDS = (Kind.service, Kind.data_centre, Kind.configuration)


@final
class EntryProgram:
    """The entry program of one process."""

    def __init__(
        self,
        context: Context,
        section: EntrySection,
        session: EntrySession,
        dispatch: Dispatch,
        relay: Component,
    ) -> None:
        """Create the program without opening its ports."""
        self._context = context
        self._relay = relay
        self._section = section
        self._session = session
        reactor = context.reactor
        instance = context.settings.instance
        random = Random()
        self._pool = AgentPool(session, dispatch, reactor, random)
        router = Router(
            self._pool,
            DataCentre(instance.data_centre),
            reactor,
            random,
            context.metrics,
        )
        self._readiness = Readiness(session, reactor)
        self._claims = ClaimCalls(
            session,
            instance.name,
            dispatch.hello.incarnation,
        )
        self._admission = RequestAdmission(
            InstanceName(instance.name),
            section,
            self._readiness,
            router,
            self._claims,
            create_body_room(context),
        )
        self._callers = create_caller_factory(
            context, self._admission.create_handler
        )
        self._port: Any = None
        self._stack = ExitStack()

    def start(self) -> None:
        """Connect to the control group and open the ports."""
        self._stack.callback(self._pool.stop)
        self._session.on_change.append(self._pool.refresh)
        self._session.on_change.append(self._admission.refresh)
        self._session.start()
        self._stack.callback(self._session.stop)
        self._port = listen(
            self._context.reactor,
            self._section.listen,
            self._callers,
        )
        self._stack.callback(self._port.stopListening)
        self._stack.callback(self._relay.close)
        self._relay.start()

    def drain(self) -> Deferred[None]:
        """Report not ready, then finish the requests in flight."""
        self._readiness.draining = True
        self._relay.drain()
        return Drainer(
            reactor=self._context.reactor,
            callers=self._callers,
            stop_listening=self._port.stopListening,
            count_in_flight=self._count_in_flight,
            drain_seconds=self._section.drain_seconds,
        ).start()

    def close(self) -> None:
        """Close ports and links."""
        self._stack.close()

    def _count_in_flight(self) -> int:
        return self._pool.count_in_flight() + self._claims.pending


def create_entry(context: Context) -> EntryProgram:
    """Create the entry program from the settings of ``context``.

    Raises:
        ProcessError: the settings have no section ``[entry]``.
    """
    section = context.settings.entry
    if section is None:
        raise ProcessError(f'{context.settings.source}: [entry] is missing')
    dispatch = Dispatch(hello=_create_hello(context))
    session = create_control_session(
        section.control,
        dispatch,
        context.reactor,
        Random(),
        SUBSCRIBED_KINDS,
        directory=True,
    )
    relay = create_api_relay(context, session)
    return EntryProgram(context, section, session, dispatch, relay)


def _create_hello(context: Context) -> Hello:
    instance = context.settings.instance
    return Hello(
        name=instance.name,
        role=Role.entry,
        incarnation=uuid.uuid4().hex,
        data_centre=instance.data_centre,
        protocol_version=PROTOCOL_VERSION,
    )

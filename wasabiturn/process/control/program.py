"""Assembly of the control program from its services."""

import secrets
from contextlib import ExitStack
from typing import Any, final

from twisted.internet.defer import Deferred

from wasabiturn.connection.dialer import LinkFactory
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.exceptions import ProcessError
from wasabiturn.messages.kinds import Role
from wasabiturn.messages.link import Hello
from wasabiturn.process.control.api import create_api
from wasabiturn.process.control.consensus import create_replica
from wasabiturn.process.control.metrics import create_control_metrics
from wasabiturn.process.control.scheduler import create_scheduler
from wasabiturn.process.control.sessions import create_sessions
from wasabiturn.process.daemon import Component, Context, listen
from wasabiturn.process.guards import create_guard

_INCARNATION_BYTES = 8


@final
class ControlProgram:
    """The control program of one process."""

    def __init__(self, context: Context) -> None:
        """Create the services; ``start`` opens the ports."""
        self._context = context
        self._dispatch = _create_dispatch(context)
        self._parts = _create_parts(context, self._dispatch)
        self._stack = ExitStack()

    def start(self) -> None:
        """Open the ports and start all services."""
        section = self._context.settings.control
        if section is None:
            raise ProcessError('the settings have no [control] section')
        reactor = self._context.reactor
        factory = LinkFactory(
            self._dispatch,
            reactor,
            dialled=False,
            guard=create_guard(self._context),
        )
        port = listen(reactor, section.listen, factory)
        self._stack.callback(port.stopListening)
        for part in self._parts:
            self._stack.callback(part.close)
            part.start()

    def drain(self) -> Deferred[None]:
        """Stop the services gracefully, in reverse order of their start."""
        drained: Deferred[None] = Deferred()
        for part in reversed(self._parts):
            drained.addCallback(_drain, part)
        drained.callback(None)
        return drained

    def close(self) -> None:
        """Close all ports and files."""
        self._stack.close()


def create_control(context: Context) -> ControlProgram:
    """Create the control program from the settings of ``context``."""
    return ControlProgram(context=context)


def _create_dispatch(context: Context) -> Dispatch:
    instance = context.settings.instance
    return Dispatch(
        hello=Hello(
            name=instance.name,
            role=Role.control,
            incarnation=secrets.token_hex(_INCARNATION_BYTES),
            data_centre=instance.data_centre,
            protocol_version=PROTOCOL_VERSION,
        ),
    )


def _create_parts(context: Context, dispatch: Dispatch) -> list[Component]:
    replica = create_replica(context, dispatch)
    dispatch.revision = lambda: replica.state.revision
    return [
        replica,
        create_sessions(context, replica, dispatch),
        create_api(context, replica),
        create_scheduler(context, replica, dispatch),
        create_control_metrics(context, replica),
    ]


def _drain(_: Any, part: Component) -> Deferred[None]:
    return part.drain()

"""HTTP server of the operators' API on a control instance.

It forwards requests to the leader over links to all members, including this
one, so every member serves operators in the same way.
"""

from contextlib import ExitStack
from random import SystemRandom
from typing import Any, final

from twisted.internet.defer import Deferred, succeed

from wasabiturn.conf.sections import ControlSection
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import PROTOCOL_VERSION, Link
from wasabiturn.exceptions import ProcessError
from wasabiturn.messages.kinds import Method, Role
from wasabiturn.messages.link import Hello
from wasabiturn.messages.session import ApiResponse
from wasabiturn.process.api_front import ApiFront, create_api_site
from wasabiturn.process.control.api_core import describe_member
from wasabiturn.process.control_links import (
    ControlLinks,
    create_control_links,
)
from wasabiturn.process.daemon import Context, listen
from wasabiturn.process.guards import limit_connections
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.version.replica import Replica


@final
class MemberGroupClient:
    """Client of the control group in one of its own members."""

    def __init__(self, links: ControlLinks, name: str, clock: Any) -> None:
        """Create the client in the member ``name``."""
        self._links = links
        self._name = name
        self._calls = LeaderCalls(links.open_links, clock, SystemRandom())

    def open_links(self) -> list[Link]:
        """Return the open links, starting with the link to this member."""
        links = self._links.open_links()
        return sorted(links, key=lambda link: link.peer.name != self._name)

    def call_leader(
        self,
        method: Method,
        message: Any,
        reply_class: type[ApiResponse],
        timeout_seconds: float,
    ) -> Deferred[ApiResponse]:
        """Call the leader; see ``LeaderCalls.call``."""
        return self._calls.call(method, message, reply_class, timeout_seconds)


@final
class ControlApi:
    """HTTP server that listens on ``api_listen`` of a control instance."""

    def __init__(
        self,
        context: Context,
        section: ControlSection,
        replica: Replica,
    ) -> None:
        """Create the server; ``start`` opens its port."""
        self._context = context
        self._section = section
        self._replica = replica
        self._stack = ExitStack()

    def start(self) -> None:
        """Connect to the members and open the port."""
        reactor = self._context.reactor
        links = self._create_links()
        links.start()
        self._stack.callback(links.stop)
        front = ApiFront(
            path=MemberGroupClient(links, self._replica.name, reactor),
            is_ready=lambda: self._replica.is_fresh(reactor.seconds()),
            describe=lambda: describe_member(self._replica),
        )
        site = limit_connections(create_api_site(front, reactor), self._context)
        port = listen(reactor, self._section.api_listen, site)
        self._stack.callback(port.stopListening)

    def drain(self) -> Deferred[None]:
        """Close the port and the links without waiting for open requests."""
        self.close()
        return succeed(None)

    def close(self) -> None:
        """Close the port and the links."""
        self._stack.close()

    def _create_links(self) -> ControlLinks:
        hello = Hello(
            name=f'{self._replica.name}-api',
            role=Role.operator,
            protocol_version=PROTOCOL_VERSION,
        )
        return create_control_links(
            [member.endpoint for member in self._section.members],
            Dispatch(hello=hello),
            self._context.reactor,
            SystemRandom(),
        )


def create_api(context: Context, replica: Replica) -> ControlApi:
    """Create the HTTP server of the operators' API.

    Raises:
        ProcessError: the settings have no [control] section.
    """
    section = context.settings.control
    if section is None:
        raise ProcessError('the settings have no [control] section')
    return ControlApi(context, section, replica)

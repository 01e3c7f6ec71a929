"""Operators' API of an entry, which relays calls to the control group."""

from contextlib import ExitStack
from typing import final

from twisted.internet.defer import Deferred, succeed

from wasabiturn.conf.sections import EntrySection
from wasabiturn.exceptions import ProcessError
from wasabiturn.process.api_front import ApiFront, create_api_site
from wasabiturn.process.daemon import Context, listen
from wasabiturn.process.guards import limit_connections
from wasabiturn.process.session import ControlSession


@final
class ApiRelay:
    """HTTP server that listens on the setting ``api_listen``."""

    def __init__(
        self,
        context: Context,
        section: EntrySection,
        session: ControlSession,
    ) -> None:
        """Create the server without opening its port."""
        self._context = context
        self._section = section
        self._session = session
        self._draining = False
        self._stack = ExitStack()

    def start(self) -> None:
        """Open the port."""
        front = ApiFront(path=self._session, is_ready=self._is_ready)
        reactor = self._context.reactor
        site = limit_connections(create_api_site(front, reactor), self._context)
        port = listen(reactor, self._section.api_listen, site)
        self._stack.callback(port.stopListening)

    def drain(self) -> Deferred[None]:
        """Report not ready; the port stays open until ``close``."""
        self._draining = True
        return succeed(None)

    def close(self) -> None:
        """Close the port."""
        self._stack.close()

    def _is_ready(self) -> bool:
        if self._draining:
            return False
        return self._session.is_fresh(self._context.reactor.seconds())


def create_api_relay(context: Context, session: ControlSession) -> ApiRelay:
    """Create the operators' API of an entry.

    Raises:
        ProcessError: the settings have no [entry] section.
    """
    section = context.settings.entry
    if section is None:
        raise ProcessError('the settings have no [entry] section')
    return ApiRelay(context, section, session)

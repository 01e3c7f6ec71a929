"""HTTP/1.1 server that passes whole requests to one function.

Messages are held in memory, so this serves short ones only; requests that are
streamed to backend servers go through ``process/entry``.

A client that gets no response asks another instance, and may then want the
opposite. A request that changes something is therefore not handled if its
client has gone, or may have gone while the process stood still.
"""

from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from wasabiturn.connection.client_claims import Rank
from wasabiturn.connection.client_guard import ClientGuard
from wasabiturn.connection.http_connection import HttpServerConnection
from wasabiturn.connection.http_limits import DEFAULT_LIMITS, HttpLimits
from wasabiturn.connection.http_messages import HttpRequest
from wasabiturn.connection.request_runner import RequestHandler
from wasabiturn.utils.pauses import PauseDetector


@final
@attrs.frozen
class SiteClients:
    """Whose requests a site serves, and what they may take.

    The connections of all sites with one ``guard`` share its bounds.
    """

    guard: ClientGuard
    rank: Rank = Rank.trusted
    limits: HttpLimits = DEFAULT_LIMITS


@final
class HttpSite(Factory):
    """Passes each request to ``handle``, which returns the response.

    While ``is_closing``, each connection ends with its next response. A change
    of ``limits`` holds for the open connections, too.
    """

    noisy = False

    def __init__(
        self,
        handle: RequestHandler,
        clock: Any,
        pause_detector: PauseDetector | None = None,
        clients: SiteClients | None = None,
    ) -> None:
        """Create a site; ``clock`` is the reactor.

        With a ``pause_detector``, requests that change something are refused
        if they may have waited in a pause. Without ``clients``, the site has a
        guard of its own.
        """
        clients = clients or SiteClients(ClientGuard(clock))
        self.handle = handle
        self.clock = clock
        self.is_closing = False
        self.guard = clients.guard
        self.rank = clients.rank
        self.limits = clients.limits
        self._pause_detector = pause_detector

    def may_be_outdated(self) -> bool:
        """Return whether what is read now may have waited in a pause."""
        detector = self._pause_detector
        return detector is not None and detector.is_catching_up()

    def call_after_next_input(
        self, call: Callable[[HttpRequest], None], request: HttpRequest
    ) -> None:
        """Call once all input was read that has arrived until now.

        The loop runs due calls before it reads, so a second one follows the
        end of the connection if that waits behind the request.
        """
        self.clock.callLater(0, self.clock.callLater, 0, call, request)

    def buildProtocol(
        self, addr: IAddress | None
    ) -> HttpServerConnection | None:
        """Build the server side of a connection, unless there are too many."""
        if self.guard.admits(self.rank):
            return HttpServerConnection(self)
        return None

"""HTTP site that passes each request to one function.

It uses Twisted's HTTP protocol without its resource tree and without an access
log, which would cost a process start-up time and a timer for each site.
"""

from collections.abc import Callable
from typing import Any, final

from twisted.internet.interfaces import IAddress
from twisted.web.http import HTTPFactory, Request

# Longer than clients keep an idle connection open.
IDLE_TIMEOUT_SECONDS = 75.0

RequestHandler = Callable[[Request], None]


@final
class SiteRequest(Request):
    """Request of a site; it is handled once its body has been received."""

    def process(self) -> None:
        """Pass this request to the handler of its site."""
        channel: Any = self.channel
        channel.site.handle(self)


@final
class HttpSite(HTTPFactory):
    """Passes each request to ``handle``, which writes the response."""

    noisy = False

    def __init__(
        self,
        handle: RequestHandler,
        reactor: Any,
        timeout_seconds: float = IDLE_TIMEOUT_SECONDS,
    ) -> None:
        """Create a site that closes connections idle for the timeout."""
        super().__init__(timeout=timeout_seconds, reactor=reactor)
        self.handle = handle

    def startFactory(self) -> None:
        """Start without an access log."""

    def stopFactory(self) -> None:
        """Stop without an access log to close."""

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Build the channel of one connection."""
        channel: Any = super().buildProtocol(addr)
        channel.requestFactory = SiteRequest
        channel.site = self
        return channel

    def log(self, request: Request) -> None:
        """Write no access log; handlers log what they decide."""

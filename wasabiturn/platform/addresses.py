"""Addresses at which a program serves HTTP, and whose requests they accept."""

from typing import Any, final

import attrs

from wasabiturn.connection.client_claims import Rank
from wasabiturn.connection.client_guard import ClientGuard
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.http_limits import DEFAULT_LIMITS, HttpLimits
from wasabiturn.connection.http_site import HttpSite, SiteClients
from wasabiturn.platform.http_server import JsonServer
from wasabiturn.utils.pauses import PauseDetector


@final
@attrs.frozen
class Address:
    """Address of a program: what serves it, and what its clients may take."""

    endpoint: Endpoint | None
    server: JsonServer
    rank: Rank = Rank.trusted
    limits: HttpLimits = DEFAULT_LIMITS


def create_site(
    address: Address,
    reactor: Any,
    guard: ClientGuard,
    pause_detector: PauseDetector | None,
) -> HttpSite:
    """Create the site that serves an address."""
    return HttpSite(
        address.server.handle,
        reactor,
        pause_detector,
        SiteClients(guard, address.rank, address.limits),
    )

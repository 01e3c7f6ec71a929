"""Links of one process to all control instances."""

from collections.abc import Iterable
from random import Random
from typing import Any, final

import attrs

from wasabiturn.connection.dialer import Dialer
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.link import Link


@final
@attrs.define
class ControlLinks:
    """Keeps a link open to each control instance."""

    dialers: list[Dialer]

    def start(self) -> None:
        """Dial every control instance."""
        for dialer in self.dialers:
            dialer.start()

    def stop(self) -> None:
        """Close the links."""
        for dialer in self.dialers:
            dialer.stop()

    def open_links(self) -> list[Link]:
        """Return the links that are open."""
        links = [dialer.link for dialer in self.dialers]
        return [link for link in links if link is not None and link.is_open]


def create_control_links(
    endpoints: Iterable[Endpoint],
    dispatch: Dispatch,
    reactor: Any,
    random: Random,
) -> ControlLinks:
    """Create the links; ``start`` begins to dial.

    The dial order is random, so that processes do not all open their first
    link to the same instance.
    """
    dialers = [
        Dialer(endpoint, dispatch, reactor, random) for endpoint in endpoints
    ]
    random.shuffle(dialers)
    return ControlLinks(dialers=dialers)

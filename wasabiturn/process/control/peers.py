"""Links to the other members of the cluster."""

from collections.abc import Callable
from random import Random
from typing import Protocol, final

import attrs

from wasabiturn.conf.sections import ControlSection
from wasabiturn.connection.dialer import Dialer
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.messages.kinds import Method, Role
from wasabiturn.messages.raft import Envelope
from wasabiturn.process.daemon import Context
from wasabiturn.version.raft.membership import name_of


class Peers(Protocol):
    """Transport from a member to the other members."""

    def start(self) -> None:
        """Start connecting."""

    def stop(self) -> None:
        """Disconnect and stop reconnecting."""

    def send(self, envelope: Envelope) -> None:
        """Send a message, which may be lost."""

    def memberless_names(self) -> frozenset[str]:
        """Return the instances that answered, but run no member."""


@final
@attrs.frozen
class DialledPeers:
    """One outgoing link to each other control instance.

    ``dial`` creates the dialer for an instance that joined an open group. It
    returns ``None`` for an instance that cannot be reached by its name.
    """

    dialers_by_name: dict[str, Dialer]
    dial: Callable[[str], Dialer | None]

    def start(self) -> None:
        """Start the dialers."""
        for dialer in self.dialers_by_name.values():
            dialer.start()

    def stop(self) -> None:
        """Close the links and stop dialling."""
        for dialer in self.dialers_by_name.values():
            dialer.stop()

    def send(self, envelope: Envelope) -> None:
        """Send a message; drop it if there is no link to the receiver."""
        name = name_of(envelope.receiver)
        dialer = self.dialers_by_name.get(name)
        if dialer is None:
            self._add_peer(name)
        elif dialer.link is not None:
            dialer.link.notify(Method.consensus, envelope)

    def memberless_names(self) -> frozenset[str]:
        """Return the instances that answered, but run no member."""
        return frozenset(
            name
            for name, dialer in self.dialers_by_name.items()
            if dialer.link is not None and dialer.link.peer.role is Role.entry
        )

    def _add_peer(self, name: str) -> None:
        dialer = self.dial(name)
        if dialer is not None:
            self.dialers_by_name[name] = dialer
            dialer.start()


def create_peers(
    context: Context,
    section: ControlSection,
    dispatch: Dispatch,
) -> DialledPeers:
    """Create the links to the other members in the settings."""

    def create_dialer(endpoint: Endpoint) -> Dialer:
        return Dialer(
            endpoint=endpoint,
            dispatch=dispatch,
            reactor=context.reactor,
            random=Random(),
        )

    def dial(name: str) -> Dialer | None:
        if not section.voters:
            return None
        return create_dialer(Endpoint(name, section.listen.port))

    dialers_by_name = {
        member.name: create_dialer(member.endpoint)
        for member in section.members
        if member.name != context.settings.instance.name
    }
    return DialledPeers(dialers_by_name=dialers_by_name, dial=dial)

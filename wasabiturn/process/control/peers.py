"""Links to the other members of the cluster."""

from random import Random
from typing import Protocol, final

import attrs

from wasabiturn.conf.sections import ControlSection
from wasabiturn.connection.dialer import Dialer
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.raft import Envelope
from wasabiturn.process.daemon import Context
from wasabiturn.version.raft.membership import name_of


class Peers(Protocol):
    """What a member needs of the way to the others."""

    def start(self) -> None:
        """Begin to connect."""

    def stop(self) -> None:
        """Disconnect for good."""

    def send(self, envelope: Envelope) -> None:
        """Send a message, which may be lost."""


@final
@attrs.frozen
class DialledPeers:
    """One dialled link to each other control instance."""

    dialers_by_name: dict[str, Dialer]

    def start(self) -> None:
        """Begin to dial."""
        for dialer in self.dialers_by_name.values():
            dialer.start()

    def stop(self) -> None:
        """Close the links and dial no more."""
        for dialer in self.dialers_by_name.values():
            dialer.stop()

    def send(self, envelope: Envelope) -> None:
        """Send a message; it is lost without a link to the receiver."""
        dialer = self.dialers_by_name.get(name_of(envelope.receiver))
        if dialer is not None and dialer.link is not None:
            dialer.link.notify(Method.consensus, envelope)


def create_peers(
    context: Context,
    section: ControlSection,
    dispatch: Dispatch,
) -> DialledPeers:
    """Create the links to the other members that the settings name."""
    dialers_by_name = {
        member.name: Dialer(
            endpoint=member.endpoint,
            dispatch=dispatch,
            reactor=context.reactor,
            random=Random(),
        )
        for member in section.members
        if member.name != context.settings.instance.name
    }
    return DialledPeers(dialers_by_name=dialers_by_name)

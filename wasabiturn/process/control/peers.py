"""Links to the other members of the cluster."""

from collections.abc import Callable
from random import Random
from typing import Protocol, final

import attrs

from wasabiturn.conf.sections import ControlSection
from wasabiturn.connection.dialer import Dialer, Endpoint
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
    """One dialled link to each other control instance.

    ``dial`` makes the dialer of an instance that joined an open group; it
    returns ``None`` for one that cannot be reached by its name.
    """

    dialers_by_name: dict[str, Dialer]
    dial: Callable[[str], Dialer | None]

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
        name = name_of(envelope.receiver)
        dialer = self.dialers_by_name.get(name)
        if dialer is None:
            self._meet(name)
        elif dialer.link is not None:
            dialer.link.notify(Method.consensus, envelope)

    def _meet(self, name: str) -> None:
        dialer = self.dial(name)
        if dialer is not None:
            self.dialers_by_name[name] = dialer
            dialer.start()


def create_peers(
    context: Context,
    section: ControlSection,
    dispatch: Dispatch,
) -> DialledPeers:
    """Create the links to the other members that the settings name."""

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

"""Links of one process to a control group with changing members.

The process is configured with a few seed members. Any member returns the
list of all members.
"""

from random import Random
from typing import Any, final

from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from wasabiturn.connection.dialer import Dialer, Endpoint
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import MemberList
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.link import Nothing
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.utils.logs import create_component_log

REFRESH_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 1.0

_log = create_component_log('group')


@final
class ControlGroup:
    """Keeps a link open to each member of the control group."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        port: int,
        dispatch: Dispatch,
        reactor: Any,
        random: Random,
    ) -> None:
        """Create the group; ``seeds`` are IP addresses of some members."""
        self._seeds = seeds
        self._port = port
        self._dispatch = dispatch
        self._reactor = reactor
        self._random = random
        self._dialers_by_name: dict[str, Dialer] = {}
        self._ticker = LoopingCall(self._refresh)
        self._ticker.clock = reactor
        self.calls = LeaderCalls(self.open_links, reactor, random)

    def start(self) -> None:
        """Dial the seeds and begin to refresh the list of members."""
        self.set_seeds(self._seeds)
        self._ticker.start(REFRESH_SECONDS, now=False)

    def stop(self) -> None:
        """Stop refreshing and close the links."""
        if self._ticker.running:
            self._ticker.stop()
        for dialer in self._dialers_by_name.values():
            dialer.stop()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds and dial the new ones."""
        self._seeds = seeds
        for name in seeds:
            self._dial(name)

    def open_links(self) -> list[Link]:
        """Return the links that are open."""
        links = [dialer.link for dialer in self._dialers_by_name.values()]
        return [link for link in links if link is not None and link.is_open]

    def _dial(self, name: str) -> None:
        if name in self._dialers_by_name:
            return
        dialer = Dialer(
            endpoint=Endpoint(name, self._port),
            dispatch=self._dispatch,
            reactor=self._reactor,
            random=self._random,
        )
        self._dialers_by_name[name] = dialer
        dialer.start()

    def _refresh(self) -> None:
        links = self.open_links()
        if not links:
            return
        members_call = self._random.choice(links).call(
            Method.members,
            Nothing(),
            MemberList,
            CALL_TIMEOUT_SECONDS,
        )
        members_call.addCallbacks(self._update_members, _log_failure)

    def _update_members(self, members: MemberList) -> None:
        if not members.names:
            return
        for name in members.names:
            self._dial(name)
        kept = {*members.names, *self._seeds}
        for name, dialer in list(self._dialers_by_name.items()):
            if name not in kept and dialer.link is None:
                dialer.stop()
                self._dialers_by_name.pop(name)


def _log_failure(failure: Failure) -> None:
    _log.event(
        'cannot get the list of control members', error=str(failure.value)
    )

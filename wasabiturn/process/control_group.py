"""Links of one process to a control group with changing members.

The process is configured with a few seeds. Any member returns the list of all
members, and so does an entry on an instance without a disk. A process keeps a
link to the leader and to one other member, which names the new leader when the
leader is lost. While it knows no leader, it tries more members in turn.
"""

from collections.abc import Callable
from random import Random
from typing import Any, final

from twisted.python.failure import Failure

from wasabiturn.connection.dialer import Dialer
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import MemberList
from wasabiturn.messages.kinds import Method, Role
from wasabiturn.messages.link import Nothing
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.ticker import Ticker

MAINTENANCE_SECONDS = 0.5
MEMBERS_REFRESH_SECONDS = 10.0
CALL_TIMEOUT_SECONDS = 1.0
KEPT_LINKS = 2
NEVER = float('-inf')

# Called with the names of the members, and the name of the instance that lists
# them.
MembersCallback = Callable[[list[str], str], None]

_log = create_component_log('group')


@final
class ControlGroup:
    """Keeps links to the leader and to a spare member of the control group."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        port: int,
        dispatch: Dispatch,
        reactor: Any,
        random: Random,
        links_to_all: bool = False,
    ) -> None:
        """Create the group; ``seeds`` are IP addresses of some instances.

        A member has ``links_to_all`` other members and seeds, so that seeds
        without a member learn of it.
        """
        # Called whenever an instance lists the members.
        self.on_members: list[MembersCallback] = []
        # Returns whether this process waits for the lists of all instances.
        self.needs_all_lists: Callable[[], bool] = _need_no_list
        self.member_names: list[str] = []
        self._links_to_all = links_to_all
        self.seeds = seeds
        self._port = port
        self._dispatch = dispatch
        self._reactor = reactor
        self._random = random
        self._dialers_by_name: dict[str, Dialer] = {}
        self._refreshed_at = NEVER
        self._ticker = Ticker(self._maintain, reactor)
        self.calls = LeaderCalls(
            self.open_links, reactor, random, on_leader_hint=self._dial
        )

    def start(self) -> None:
        """Dial some of the seeds and begin to maintain the links."""
        for _ in range(KEPT_LINKS):
            self._dial_another()
        self._ticker.start(MAINTENANCE_SECONDS, now=False)

    def stop(self) -> None:
        """Close the links."""
        if self._ticker.running:
            self._ticker.stop()
        for dialer in self._dialers_by_name.values():
            dialer.stop()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds; they are dialled when links are missing."""
        self.seeds = seeds

    def add_member(self, name: str) -> None:
        """Add a member that has opened a link to this process."""
        if name not in self.member_names:
            self.member_names.append(name)

    def open_links(self) -> list[Link]:
        """Return the open links to members."""
        return [
            link
            for link in self.all_open_links()
            if link.peer.role is Role.control
        ]

    def all_open_links(self) -> list[Link]:
        """Return the open links, also to instances that run no member."""
        links = [dialer.link for dialer in self._dialers_by_name.values()]
        return [link for link in links if link is not None and link.is_open]

    def _maintain(self) -> None:
        open_names = {link.peer.name for link in self.open_links()}
        if self._links_to_all:
            self._dial_all()
        elif (
            len(open_names) < KEPT_LINKS or self.calls.leader not in open_names
        ):
            self._dial_another()
        else:
            self._drop_surplus(open_names)
        now = self._reactor.seconds()
        if self.needs_all_lists():
            for link in self.all_open_links():
                self._request_members(link)
        elif now >= self._refreshed_at + MEMBERS_REFRESH_SECONDS:
            self._refresh(now)

    def _dial_all(self) -> None:
        names = {*self.member_names, *self.seeds}
        for name in names:
            self._dial(name)
        self._forget_departed(names)

    def _dial_another(self) -> None:
        """Dial one more of the known instances, if there is one."""
        names = {*self.member_names, *self.seeds}
        candidates = sorted(names - self._dialers_by_name.keys())
        if candidates:
            self._dial(self._random.choice(candidates))
        else:
            self._forget_departed(names)

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

    def _drop_surplus(self, open_names: set[str]) -> None:
        """Close all links but those to the leader and to one other member."""
        spares = sorted(open_names - {self.calls.leader})
        kept = {self.calls.leader, self._random.choice(spares)}
        for name, dialer in list(self._dialers_by_name.items()):
            if name not in kept and not _is_in_use(dialer):
                self._drop(name)

    def _forget_departed(self, names: set[str]) -> None:
        """Stop dialling instances that no list names any more."""
        for name, dialer in list(self._dialers_by_name.items()):
            if name not in names and dialer.link is None:
                self._drop(name)

    def _drop(self, name: str) -> None:
        self._dialers_by_name.pop(name).stop()

    def _refresh(self, now: float) -> None:
        links = self.all_open_links()
        if not links:
            return
        self._refreshed_at = now + self._random.uniform(-1, 0)
        self._request_members(self._random.choice(links))

    def _request_members(self, link: Link) -> None:
        members_call = link.call(
            Method.members,
            Nothing(),
            MemberList,
            CALL_TIMEOUT_SECONDS,
        )
        members_call.addCallback(self._update_members, link)
        members_call.addErrback(self._handle_refresh_failure)

    def _update_members(self, members: MemberList, link: Link) -> None:
        if not members.names:
            self._refreshed_at = NEVER
            return
        if link.peer.role is Role.control:
            self.member_names = []
        # The list of an instance that runs no member may lack some.
        for name in members.names:
            self.add_member(name)
        for callback in self.on_members:
            callback(members.names, link.peer.name)

    def _handle_refresh_failure(self, failure: Failure) -> None:
        self._refreshed_at = NEVER
        _log.event(
            'cannot get the list of control members',
            error=str(failure.value),
        )


def _need_no_list() -> bool:
    return False


def _is_in_use(dialer: Dialer) -> bool:
    link = dialer.link
    return link is not None and bool(link.calls.pending_by_exchange)

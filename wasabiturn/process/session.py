"""Session of one entry or agent process with the control group.

Links to all control instances stay open. One instance feeds the view. If it
stops confirming that its state is current, an instance that does takes over.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.link import Link
from wasabiturn.messages.kinds import Kind, Method
from wasabiturn.messages.link import Nothing
from wasabiturn.messages.session import (
    AgentRecord,
    Announce,
    Changes,
    DirectoryChanges,
    Fresh,
    Subscribe,
    Subscribed,
)
from wasabiturn.process.control_links import (
    ControlLinks,
    create_control_links,
)
from wasabiturn.process.freshness import Freshness
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.ticker import Ticker
from wasabiturn.version.view import View, ViewUpdater

TICK_SECONDS = 0.5
ANNOUNCE_TICKS = 2
CALL_TIMEOUT_SECONDS = 1.0
NO_REVISION = -1

_log = create_component_log('session')


@final
class ControlSession:
    """Subscription to the shared state, announcements and leader calls."""

    def __init__(
        self,
        links: ControlLinks,
        dispatch: Dispatch,
        clock: Any,
        random: Random,
        interest: Subscribe,
    ) -> None:
        """Create the session; ``start`` begins to dial."""
        self.view = View()
        self.on_change: list[Callable[[], None]] = []
        self._links = links
        self._clock = clock
        self._random = random
        self._interest = interest
        self._current_link: Link | None = None
        # Changes go to a separate view until a quorum has confirmed it: a
        # lagging member would take a restarted process back to old state.
        self._feed_view = View(agents_by_name=self.view.agents_by_name)
        self._feed = _create_feed(self._feed_view, interest)
        self._freshness = Freshness()
        self._record: AgentRecord | None = None
        self._ticks = 0
        self._ticker = Ticker(self._tick, clock)
        self.call_leader = LeaderCalls(self.open_links, clock, random).call
        self._register(dispatch)

    def start(self) -> None:
        """Dial every control instance."""
        self._links.start()
        self._ticker.start(TICK_SECONDS, now=False)

    def stop(self) -> None:
        """Close the links."""
        if self._ticker.running:
            self._ticker.stop()
        self._links.stop()

    def is_fresh(self, now: float) -> bool:
        """Return whether a quorum confirmed the view within 3 s of ``now``."""
        return self._freshness.is_fresh(now)

    def open_links(self) -> list[Link]:
        """Return the links to control instances that are open."""
        return self._links.open_links()

    def announce(self, record: AgentRecord) -> None:
        """Send ``record`` to every control instance now and every second.

        A changed record must have a higher ``sequence``.
        """
        self._record = record
        self._send_record(self.open_links())

    def _register(self, dispatch: Dispatch) -> None:
        dispatch.revision = lambda: self.view.revision
        dispatch.handle(Method.changes, Changes, self._handle_changes)
        dispatch.handle(
            Method.directory_changes,
            DirectoryChanges,
            self._handle_directory,
        )
        dispatch.on_open.append(self._on_open)
        dispatch.on_close.append(self._on_close)

    def _on_open(self, link: Link) -> None:
        if link not in self.open_links():
            return
        self._send_record([link])
        if self._current_link is None:
            self._subscribe(link)

    def _on_close(self, link: Link) -> None:
        if link is not self._current_link:
            return
        self._current_link = None
        links = [other for other in self.open_links() if other is not link]
        if links:
            self._subscribe(self._random.choice(links))

    def _tick(self) -> None:
        self._ticks += 1
        links = self.open_links()
        if self._ticks % ANNOUNCE_TICKS == 0:
            self._send_record(links)
        now = self._clock.seconds()
        if self._current_link is None and links:
            self._subscribe(self._random.choice(links))
        if self._freshness.is_recently_confirmed(now):
            if now >= self._freshness.rebalance_at:
                self._rebalance(self._random.choice(links), now)
            links = [link for link in links if link is self._current_link]
        for link in links:
            self._check_freshness(link, now)

    def _rebalance(self, link: Link, now: float) -> None:
        """Switch to ``link`` if its member is fresh.

        Without this, members that have run for longest would accumulate all
        subscriptions.
        """
        self._freshness.record_switch(now, self._random)
        if link is not self._current_link:
            call = _request_freshness(link)
            call.addCallback(lambda _: self._subscribe(link))
            call.addErrback(lambda _: None)

    def _check_freshness(self, link: Link, requested_at: float) -> None:
        call = _request_freshness(link)
        call.addCallback(self._on_fresh, link, requested_at)
        call.addErrback(lambda _: None)

    def _on_fresh(self, fresh: Fresh, link: Link, requested_at: float) -> None:
        if link is self._current_link:
            self._confirm(fresh, requested_at)
        elif self._freshness.may_switch(requested_at, self._clock.seconds()):
            self._subscribe(link)

    def _confirm(self, fresh: Fresh, requested_at: float) -> None:
        if not self._feed_view.is_loaded:
            return
        self._feed_view.advance_revision(fresh.revision)
        self._freshness.confirm(requested_at)
        if self._feed_view is not self.view:
            self.view.adopt(self._feed_view)
            self._feed_view = self.view
            self._feed.view = self.view
            _run_all(self.on_change)

    def _subscribe(self, link: Link) -> None:
        previous = self._current_link
        self._current_link = link
        self._freshness.record_switch(self._clock.seconds(), self._random)
        self._feed = _create_feed(self._feed_view, self._interest)
        since = (
            self._feed_view.revision
            if self._feed_view.is_loaded
            else NO_REVISION
        )
        _log.event('subscribed', control=link.peer.name, since=since)
        subscribe_call = self._request(
            link, attrs.evolve(self._interest, since=since)
        )
        subscribe_call.addCallback(lambda _: self._check_current(link))
        subscribe_call.addErrback(lambda _: self._on_close(link))
        if previous is not None and previous is not link:
            unsubscribe_call = self._request(previous, Subscribe())
            unsubscribe_call.addErrback(lambda _: None)

    def _check_current(self, link: Link) -> None:
        if link is self._current_link:
            self._check_freshness(link, self._clock.seconds())

    def _request(self, link: Link, subscription: Subscribe) -> Deferred[Any]:
        return link.call(
            Method.subscribe,
            subscription,
            Subscribed,
            CALL_TIMEOUT_SECONDS,
        )

    def _handle_changes(self, link: Link, message: Changes) -> None:
        if link is self._current_link and self._feed.apply_changes(message):
            _run_all(self.on_change)

    def _handle_directory(self, link: Link, message: DirectoryChanges) -> None:
        if link is self._current_link and self._feed.apply_directory(message):
            _run_all(self.on_change)

    def _send_record(self, links: Iterable[Link]) -> None:
        if self._record is None:
            return
        for link in links:
            link.notify(Method.announce, Announce(record=self._record))


def _run_all(callbacks: list[Callable[[], None]]) -> None:
    for callback in callbacks:
        callback()


def _request_freshness(link: Link) -> Deferred[Fresh]:
    return link.call(Method.fresh, Nothing(), Fresh, CALL_TIMEOUT_SECONDS)


def _create_feed(view: View, interest: Subscribe) -> ViewUpdater:
    return ViewUpdater(
        view=view, kinds=tuple(Kind(kind) for kind in interest.kinds)
    )


def create_control_session(
    endpoints: Iterable[Endpoint],
    dispatch: Dispatch,
    reactor: Any,
    random: Random,
    kinds: Iterable[Kind],
    directory: bool,
) -> ControlSession:
    """Create the session of a process with the control group.

    Registers its handlers on ``dispatch``. The view holds the resources of
    ``kinds``, and also the agents if ``directory`` is set.
    """
    return ControlSession(
        links=create_control_links(endpoints, dispatch, reactor, random),
        dispatch=dispatch,
        clock=reactor,
        random=random,
        interest=Subscribe(
            kinds=[int(kind) for kind in kinds],
            directory=directory,
        ),
    )

"""Subscriptions of entries and agents at one control instance."""

from collections.abc import Iterator
from typing import final

import attrs

from wasabiturn.connection.link import Link
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import FrameKind, Kind, Method
from wasabiturn.messages.session import (
    Changes,
    DirectoryChanges,
    Subscribe,
)
from wasabiturn.messages.state import Change
from wasabiturn.version.state import State, changes_since

SNAPSHOT_PART_RESOURCES = 500


@final
@attrs.define
class Subscriber:
    """Link, the resource kinds it subscribes to and the revision it has."""

    link: Link
    kinds: tuple[int, ...]
    wants_directory: bool
    revision: int


@final
@attrs.frozen
class _Position:
    """Position of subscribers that need the same changes."""

    revision: int
    kinds: tuple[int, ...]


@final
@attrs.define
class Subscribers:
    """Subscriptions by link; each link has at most one."""

    by_link: dict[Link, Subscriber] = attrs.field(factory=dict)

    def add(self, link: Link, message: Subscribe, state: State) -> None:
        """Start a subscription and send the changes it has missed.

        A subscriber that is ahead of ``state`` gets nothing until ``state``
        has passed its revision. A message without kinds and directory ends
        the subscription.
        """
        self.remove(link)
        if not message.kinds and not message.directory:
            return
        self.by_link[link] = Subscriber(
            link=link,
            kinds=tuple(sorted(message.kinds)),
            wants_directory=message.directory,
            revision=message.since,
        )
        self.catch_up(link, state)

    def remove(self, link: Link) -> None:
        """Remove the subscription of ``link``, if it has one."""
        self.by_link.pop(link, None)

    def catch_up(self, link: Link, state: State) -> None:
        """Send the subscriber on ``link`` the changes it has missed."""
        subscriber = self.by_link.get(link)
        if subscriber is not None:
            _send(subscriber, state, _pack_missed(subscriber, state))

    def publish(self, state: State) -> None:
        """Send each subscriber the changes it has missed.

        Subscribers at the same position share the packed messages.
        """
        bodies_by_position: dict[_Position, list[bytes]] = {}
        for subscriber in self.by_link.values():
            position = _Position(subscriber.revision, subscriber.kinds)
            if position not in bodies_by_position:
                bodies_by_position[position] = _pack_missed(subscriber, state)
            _send(subscriber, state, bodies_by_position[position])

    def publish_directory(self, message: DirectoryChanges) -> None:
        """Send ``message`` to the subscribers of the directory."""
        body = pack(message)
        for subscriber in self.by_link.values():
            if subscriber.wants_directory:
                _notify(subscriber.link, Method.directory_changes, body)


def _send(subscriber: Subscriber, state: State, bodies: list[bytes]) -> None:
    for body in bodies:
        _notify(subscriber.link, Method.changes, body)
    subscriber.revision = max(subscriber.revision, state.revision)


def _pack_missed(subscriber: Subscriber, state: State) -> list[bytes]:
    missed = changes_since(state, subscriber.revision)
    if subscriber.revision < 0 or missed is None:
        parts = _split_snapshot(subscriber.kinds, state)
        return [pack(part) for part in parts]
    wanted = [
        change for change in missed if change.resource.kind in subscriber.kinds
    ]
    if not wanted:
        return []
    return [pack(Changes(revision=state.revision, changes=wanted))]


def _split_snapshot(
    kinds: tuple[int, ...],
    state: State,
) -> Iterator[Changes]:
    changes = [
        Change(revision=resource.revision, resource=resource)
        for kind in kinds
        for resource in state.resources_by_kind[Kind(kind)].values()
    ]
    last_start = (
        max(len(changes) - 1, 0)
        // SNAPSHOT_PART_RESOURCES
        * SNAPSHOT_PART_RESOURCES
    )
    for start in range(0, last_start + 1, SNAPSHOT_PART_RESOURCES):
        yield Changes(
            snapshot=True,
            complete=start == last_start,
            revision=state.revision,
            changes=changes[start : start + SNAPSHOT_PART_RESOURCES],
        )


def _notify(link: Link, method: Method, body: bytes) -> None:
    if link.is_open:
        link.send_frame(FrameKind.notice, 0, method, body)

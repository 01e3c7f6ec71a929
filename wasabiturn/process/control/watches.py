"""Watches of operators: streams of newline-delimited JSON.

A ``snapshot`` line replaces everything that the watcher holds. It is sent in
parts numbered from 0; the last one is marked ``complete``. ``put`` and
``delete`` lines follow without gaps or duplicates. A ``heartbeat`` line says
that there are no other changes up to its revision. A member that is not fresh
ends its watches, and the watcher resumes at another member from the last
revision that it read.
"""

import json
from collections import deque
from collections.abc import Iterator
from typing import Any, final

import attrs

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.connection.streams import Stream
from wasabiturn.messages.kinds import Kind, Method
from wasabiturn.messages.session import WatchRequest
from wasabiturn.messages.state import Change
from wasabiturn.process.control.soft_resources import SOFT_KINDS
from wasabiturn.process.control.tokens import Tokens
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.ticker import Ticker
from wasabiturn.version.replica import AppliedCommand, Replica
from wasabiturn.version.resources import render_resource
from wasabiturn.version.state import State, changes_since

HEARTBEAT_INTERVAL_SECONDS = 1.0
SNAPSHOT_PART_RESOURCES = 500
NOT_FRESH = 'not fresh'
UNAUTHORIZED = 'unauthorized'
NOT_WATCHED = 'not watched'

_log = create_component_log('watch')


@final
@attrs.define(eq=False)
class Watch:
    """Stream to one watcher; pauses while the stream has no credit."""

    kind: Kind
    stream: Stream
    revision: int
    watches: 'Watches'
    is_writable: bool = True
    unsent_parts: deque[dict[str, Any]] = attrs.field(factory=deque)

    def send_missed(self, state: State) -> None:
        """Send changes after the watcher's revision while there is credit."""
        self._send_parts()
        if not self.is_writable:
            return
        for line in _create_missed_lines(self, state):
            self._write(line)
        self._send_parts()

    def send_heartbeat(self) -> None:
        """Send a heartbeat line with the watcher's revision."""
        if self.is_writable:
            content = {'type': 'heartbeat', 'revision': self.revision}
            self._write(content)

    def data_received(self, chunk: bytes) -> None:
        """Ignore data from the watcher."""

    def end_received(self) -> None:
        """Close the watch after the watcher has ended its stream."""
        self.watches.remove(self)
        self.stream.end()

    def reset_received(self, reason: str) -> None:
        """Remove the watch after its stream was reset."""
        self.watches.remove(self)

    def writable(self) -> None:
        """Resume sending once the stream has credit again."""
        self.is_writable = True
        self.watches.resume(self)

    def _send_parts(self) -> None:
        while self.unsent_parts and self.is_writable:
            part = self.unsent_parts.popleft()
            rendered = [render_resource(each) for each in part['items']]
            self._write({**part, 'items': rendered})

    def _write(self, content: dict[str, Any]) -> None:
        line = json.dumps(content, separators=(',', ':'))
        self.is_writable = self.stream.write(f'{line}\n'.encode())


@final
@attrs.define
class Watches:
    """Open watches of one control instance."""

    replica: Replica
    tokens: Tokens
    clock: Any
    open_watches: list[Watch] = attrs.field(factory=list)
    _ticker: Any = None

    def start(self) -> None:
        """Start sending heartbeats."""
        self._ticker = Ticker(self.tick, self.clock)
        self._ticker.start(HEARTBEAT_INTERVAL_SECONDS, now=False)

    def stop(self) -> None:
        """End all watches."""
        if self._ticker is not None and self._ticker.running:
            self._ticker.stop()
        self._end_all('shutting down')

    def open(self, link: Link, head: WatchRequest, stream: Stream) -> None:
        """Open a watch, or reset the stream with the reason for the refusal."""
        refusal = self._find_refusal(head)
        if refusal:
            stream.reset(refusal)
            return
        watch = Watch(Kind(head.kind), stream, head.since, watches=self)
        self.open_watches.append(watch)
        stream.attach(watch)
        watch.send_missed(self.replica.state)
        watch.send_heartbeat()

    def publish(self, applied: AppliedCommand) -> None:
        """Send the changes of an applied command to each watcher."""
        if applied.changes:
            self.publish_restored()

    def publish_restored(self) -> None:
        """Send each watcher the changes it has missed."""
        for watch in self.open_watches:
            watch.send_missed(self.replica.state)

    def resume(self, watch: Watch) -> None:
        """Continue a watch whose stream has credit again."""
        watch.send_missed(self.replica.state)

    def remove(self, watch: Watch) -> None:
        """Remove a watch, if it is open."""
        if watch in self.open_watches:
            self.open_watches.remove(watch)

    def tick(self) -> None:
        """Send heartbeats; end all watches if this member is stale."""
        if not self.replica.is_fresh(self.clock.seconds()):
            self._end_all(NOT_FRESH)
        for watch in self.open_watches:
            watch.send_heartbeat()

    def _find_refusal(self, head: WatchRequest) -> str:
        if self.tokens.identify(head.authorization) is None:
            return UNAUTHORIZED
        if head.kind in SOFT_KINDS or head.kind not in set(Kind):
            return NOT_WATCHED
        if not self.replica.is_fresh(self.clock.seconds()):
            return NOT_FRESH
        return ''

    def _end_all(self, reason: str) -> None:
        ended = self.open_watches
        self.open_watches = []
        for watch in ended:
            watch.stream.reset(reason)
        if ended:
            _log.event('ended watches', reason=reason, count=len(ended))


def create_watches(
    replica: Replica,
    tokens: Tokens,
    clock: Any,
    dispatch: Dispatch,
) -> Watches:
    """Create the watches of a member and register them on ``dispatch``."""
    watches = Watches(replica=replica, tokens=tokens, clock=clock)
    replica.on_applied.append(watches.publish)
    replica.on_restored.append(watches.publish_restored)
    dispatch.handle_stream(Method.watch, WatchRequest, watches.open)
    return watches


def _create_missed_lines(
    watch: Watch,
    state: State,
) -> Iterator[dict[str, Any]]:
    """Yield the lines that the watch has missed, and advance its revision.

    The revision only advances over changes that the stream accepted.
    """
    missed = changes_since(state, watch.revision)
    if watch.revision < 0 or missed is None:
        watch.revision = state.revision
        watch.unsent_parts.extend(_create_snapshot_parts(watch.kind, state))
        return
    for change in missed:
        if not watch.is_writable:
            return
        watch.revision = change.revision
        if change.resource.kind is watch.kind:
            yield _create_change_line(change)


def _create_snapshot_parts(
    kind: Kind,
    state: State,
) -> Iterator[dict[str, Any]]:
    """Yield the parts of a snapshot; items are rendered when they are sent."""
    resources_by_name = state.resources_by_kind[kind]
    ordered = [resources_by_name[name] for name in sorted(resources_by_name)]
    last = max(len(ordered) - 1, 0) // SNAPSHOT_PART_RESOURCES
    for part in range(last + 1):
        start = part * SNAPSHOT_PART_RESOURCES
        yield {
            'type': 'snapshot',
            'revision': state.revision,
            'part': part,
            'complete': part == last,
            'items': ordered[start : start + SNAPSHOT_PART_RESOURCES],
        }


def _create_change_line(change: Change) -> dict[str, Any]:
    return {
        'type': 'delete' if change.removed else 'put',
        'revision': change.revision,
        'resource': render_resource(change.resource),
    }

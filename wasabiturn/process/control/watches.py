"""Watches of operators: streams of newline-delimited JSON.

Lines: ``snapshot`` replaces all that the watcher holds; it comes in parts,
counted from 0, of which the last is ``complete``. ``put`` and ``delete`` follow
without gap or repeat; ``heartbeat`` says that nothing else happened up
to its revision. A member that is not fresh ends its watches; the watcher
resumes at another one with the last revision that it read.
"""

import json
from collections import deque
from collections.abc import Iterator
from typing import Any, final

import attrs
from twisted.internet.task import LoopingCall

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.connection.streams import Stream
from wasabiturn.messages.kinds import Kind, Method
from wasabiturn.messages.session import WatchRequest
from wasabiturn.messages.state import Change
from wasabiturn.process.control.soft_resources import SOFT_KINDS
from wasabiturn.process.control.tokens import Tokens
from wasabiturn.utils.logs import create_part_log
from wasabiturn.version.replica import AppliedCommand, Replica
from wasabiturn.version.resources import render_resource
from wasabiturn.version.state import State, changes_since

HEARTBEAT_SECONDS = 1.0
SNAPSHOT_PART = 500
NOT_FRESH = 'not fresh'
UNAUTHORIZED = 'unauthorized'
NOT_WATCHED = 'not watched'

_log = create_part_log('watch')


@final
@attrs.define(eq=False)
class Watch:
    """One watcher; writes nothing while its stream lacks credit."""

    kind: Kind
    stream: Stream
    revision: int
    watches: 'Watches'
    is_writable: bool = True
    unsent_parts: deque[dict[str, Any]] = attrs.field(factory=deque)

    def send_missed(self, state: State) -> None:
        """Send what happened after the watcher's revision."""
        self._send_parts()
        if not self.is_writable:
            return
        for line in _create_lines(self, state):
            self._write(line)
        self._send_parts()

    def send_heartbeat(self) -> None:
        """Tell the watcher that the stream is alive."""
        if self.is_writable:
            content = {'type': 'heartbeat', 'revision': self.revision}
            self._write(content)

    def data_received(self, chunk: bytes) -> None:
        """Ignore what a watcher sends."""

    def end_received(self) -> None:
        """End the watch that its watcher ends."""
        self.watches.remove(self)
        self.stream.end()

    def reset_received(self, reason: str) -> None:
        """Forget the watch."""
        self.watches.remove(self)

    def writable(self) -> None:
        """Send what was held back."""
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
    """Watches of one control instance."""

    replica: Replica
    tokens: Tokens
    clock: Any
    open_watches: list[Watch] = attrs.field(factory=list)
    _ticker: Any = None

    def start(self) -> None:
        """Begin to send heartbeats."""
        self._ticker = LoopingCall(self.tick)
        self._ticker.clock = self.clock
        self._ticker.start(HEARTBEAT_SECONDS, now=False)

    def stop(self) -> None:
        """End all watches."""
        if self._ticker is not None and self._ticker.running:
            self._ticker.stop()
        self._end_all('shutting down')

    def open(self, link: Link, head: WatchRequest, stream: Stream) -> None:
        """Serve a watcher, or reset its stream with the reason."""
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
        """Send the newest changes to each watcher."""
        if applied.changes:
            self.publish_restored()

    def publish_restored(self) -> None:
        """Send what a snapshot brought to each watcher."""
        for watch in self.open_watches:
            watch.send_missed(self.replica.state)

    def resume(self, watch: Watch) -> None:
        """Go on with a watch that lacked credit."""
        watch.send_missed(self.replica.state)

    def remove(self, watch: Watch) -> None:
        """Forget a watch."""
        if watch in self.open_watches:
            self.open_watches.remove(watch)

    def tick(self) -> None:
        """Send heartbeats, or end the watches of a member that is stale."""
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


def _create_lines(watch: Watch, state: State) -> Iterator[dict[str, Any]]:
    """Yield lines; the watch's revision follows what the stream took."""
    missed = changes_since(state, watch.revision)
    if watch.revision < 0 or missed is None:
        watch.revision = state.revision
        watch.unsent_parts.extend(_create_parts(watch.kind, state))
        return
    for change in missed:
        if not watch.is_writable:
            return
        watch.revision = change.revision
        if change.resource.kind is watch.kind:
            yield _create_line(change)


def _create_parts(kind: Kind, state: State) -> Iterator[dict[str, Any]]:
    """Yield the parts of a snapshot; they are rendered when they are sent."""
    resources_by_name = state.resources_by_kind[kind]
    ordered = [resources_by_name[name] for name in sorted(resources_by_name)]
    last = max(len(ordered) - 1, 0) // SNAPSHOT_PART
    for part in range(last + 1):
        start = part * SNAPSHOT_PART
        yield {
            'type': 'snapshot',
            'revision': state.revision,
            'part': part,
            'complete': part == last,
            'items': ordered[start : start + SNAPSHOT_PART],
        }


def _create_line(change: Change) -> dict[str, Any]:
    return {
        'type': 'delete' if change.removed else 'put',
        'revision': change.revision,
        'resource': render_resource(change.resource),
    }

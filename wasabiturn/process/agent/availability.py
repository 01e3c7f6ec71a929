"""When the agent takes no new work: its data centre is out, or it stops."""

from collections.abc import Callable
from typing import Any, Protocol, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.kinds import Kind, Role
from wasabiturn.messages.session import AgentRecord
from wasabiturn.process.agent.backends import Backends
from wasabiturn.process.agent.directory_record import RecordSource
from wasabiturn.process.agent.request_server import Serving
from wasabiturn.utils.logs import create_part_log
from wasabiturn.version.view import View

STOPPING = 'agent is stopping'
TAKEN_OUT = 'data centre is out of service'
# Entries that learn of the stop by a refusal retry on the links that remain.
LINGER_SECONDS = 0.5
FLUSH_SECONDS = 1.0

_log = create_part_log('agent')


class Directory(Protocol):
    """The part of the control session that announces this agent."""

    view: View
    on_change: list[Callable[[], None]]

    def announce(self, record: AgentRecord) -> None:
        """Send the record to every control instance."""


@final
@attrs.define
class Leaving:
    """Keeps the directory's record and the acceptance of work in step."""

    session: Directory
    backends: Backends
    serving: Serving
    source: RecordSource
    reactor: Any
    _is_stopping: bool = False
    _links: set[Link] = attrs.field(factory=set)
    _drained: Deferred[None] | None = None
    _may_finish: bool = False
    _is_flushing: bool = False

    def register(self, dispatch: Dispatch) -> None:
        """Follow the view, the backend servers and the links of entries."""
        self.session.on_change.append(self.update)
        self.backends.on_change.append(self.publish)
        dispatch.on_open.append(self._add_link)
        dispatch.on_close.append(self._remove_link)
        self.publish()

    def update(self) -> None:
        """Take work or refuse it, as the view says."""
        reason = self._closed_because()
        if reason == self.serving.closed_because:
            return
        _log.event('acceptance changed', closed_because=reason)
        self.serving.closed_because = reason
        self.source.leaving = bool(reason)
        if reason:
            for backend in self.backends.all_backends():
                backend.refuse_waiting(reason)
        self.publish()

    def publish(self) -> None:
        """Announce the present record."""
        self.session.announce(self.source.build())

    def drain(self, limit_seconds: float) -> Deferred[None]:
        """Refuse new work; fires once nothing is in flight."""
        drained: Deferred[None] = Deferred()
        self._drained = drained
        self._is_stopping = True
        self.update()
        self.reactor.callLater(LINGER_SECONDS, self._allow_finish)
        self.reactor.callLater(limit_seconds, self._flush)
        return drained

    def review(self) -> None:
        """Close the links once nothing is in flight."""
        if self._may_finish and not self.backends.in_flight():
            self._flush()

    def _closed_because(self) -> str:
        if self._is_stopping:
            return STOPPING
        return TAKEN_OUT if self._is_taken_out() else ''

    def _is_taken_out(self) -> bool:
        name = self.source.settings.instance.data_centre
        data_centres = self.session.view.resources_by_kind[Kind.data_centre]
        resource = data_centres.get(name)
        if resource is None or resource.data_centre_spec is None:
            return False
        return resource.data_centre_spec.out

    def _allow_finish(self) -> None:
        self._may_finish = True

    def _flush(self) -> None:
        """Let the links send what is buffered, then fire."""
        if self._is_flushing:
            return
        self._is_flushing = True
        self.reactor.callLater(FLUSH_SECONDS, self._finish)
        for link in list(self._links):
            link.close()
        self._finish_when_closed()

    def _add_link(self, link: Link) -> None:
        if link.peer.role is Role.entry:
            self._links.add(link)

    def _remove_link(self, link: Link) -> None:
        self._links.discard(link)
        self._finish_when_closed()

    def _finish_when_closed(self) -> None:
        if self._is_flushing and not self._links:
            self._finish()

    def _finish(self) -> None:
        drained = self._drained
        self._drained = None
        if drained is not None:
            drained.callback(None)

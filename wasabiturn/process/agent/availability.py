"""Refusal of new work while an agent or its data centre is unavailable."""

from collections.abc import Callable
from typing import Any, Protocol, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.kinds import Kind, Role
from wasabiturn.messages.session import AgentRecord
from wasabiturn.process.agent.backends import Backends
from wasabiturn.process.agent.directory_record import RecordBuilder
from wasabiturn.process.agent.request_server import RequestServer
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.view import View

STOPPING_REASON = 'agent is stopping'
OUT_OF_SERVICE_REASON = 'data centre is out of service'
# Links to entries stay open for at least this long, so that entries that
# learn of the stop from a refusal can retry through the remaining links.
MIN_DRAIN_SECONDS = 0.5
FLUSH_TIMEOUT_SECONDS = 1.0

_log = create_component_log('agent')


class DirectorySession(Protocol):
    """The part of the control session that availability needs."""

    view: View
    on_change: list[Callable[[], None]]

    def announce(self, record: AgentRecord) -> None:
        """Send the record to every control instance."""


@final
@attrs.define
class Availability:
    """Decides whether the agent accepts new work, and announces it."""

    session: DirectorySession
    backends: Backends
    request_server: RequestServer
    record_builder: RecordBuilder
    reactor: Any
    _is_stopping: bool = False
    _links: set[Link] = attrs.field(factory=set)
    _drained: Deferred[None] | None = None
    _may_flush: bool = False
    _is_flushing: bool = False

    def register(self, dispatch: Dispatch) -> None:
        """Subscribe to the view, the backend servers and links of entries."""
        self.session.on_change.append(self.update)
        self.backends.on_change.append(self.publish)
        dispatch.on_open.append(self._add_link)
        dispatch.on_close.append(self._remove_link)
        self.publish()

    def update(self) -> None:
        """Accept or refuse new work, depending on the view and on a stop."""
        reason = self._closed_because()
        if reason == self.request_server.closed_because:
            return
        _log.event('acceptance of new work changed', closed_because=reason)
        self.request_server.closed_because = reason
        self.backends.is_closed = bool(reason)
        self.record_builder.leaving = bool(reason)
        if reason:
            for backend in self.backends.all_backends():
                backend.refuse_waiting(reason)
        self.publish()

    def publish(self) -> None:
        """Announce the present record."""
        self.session.announce(self.record_builder.build())

    def drain(self, limit_seconds: float) -> Deferred[None]:
        """Refuse new work; fires once nothing is in flight or time is up."""
        drained: Deferred[None] = Deferred()
        self._drained = drained
        self._is_stopping = True
        self.update()
        self.reactor.callLater(MIN_DRAIN_SECONDS, self._allow_flush)
        self.reactor.callLater(limit_seconds, self._flush)
        return drained

    def flush_if_idle(self) -> None:
        """Close links if nothing is in flight after the minimum drain time."""
        if self._may_flush and not self.backends.in_flight():
            self._flush()

    def _closed_because(self) -> str:
        if self._is_stopping:
            return STOPPING_REASON
        return OUT_OF_SERVICE_REASON if self._is_data_centre_out() else ''

    def _is_data_centre_out(self) -> bool:
        name = self.record_builder.settings.instance.data_centre
        data_centres = self.session.view.resources_by_kind[Kind.data_centre]
        resource = data_centres.get(name)
        if resource is None or resource.data_centre_spec is None:
            return False
        return resource.data_centre_spec.out

    def _allow_flush(self) -> None:
        self._may_flush = True

    def _flush(self) -> None:
        """Close links, which send their buffers, then finish the drain."""
        if self._is_flushing:
            return
        self._is_flushing = True
        self.reactor.callLater(FLUSH_TIMEOUT_SECONDS, self._finish)
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

"""Backend servers that have announced themselves to this agent."""

from collections.abc import Callable
from itertools import count
from typing import Any, final

import attrs

from wasabiturn.connection.backend import BackendPool
from wasabiturn.connection.endpoint import parse_endpoint
from wasabiturn.ids import ServiceName, Ticket
from wasabiturn.messages.session import BackendRecord, ServiceReport
from wasabiturn.process.agent.crash_diagnosis import CrashDiagnosis
from wasabiturn.process.agent.local_backend import LocalBackend
from wasabiturn.request.admission import create_slot_table
from wasabiturn.request.agent_claims import AgentClaims


@final
@attrs.define
class Backends:
    """Registry of this agent's backend servers, by service and address."""

    reactor: Any
    claims: AgentClaims = attrs.field(factory=AgentClaims)
    # Whether the agent accepts no new work.
    is_closed: bool = False
    on_change: list[Callable[[], None]] = attrs.field(factory=list)
    _backends_by_key: dict[tuple[str, str], LocalBackend] = attrs.field(
        factory=dict,
    )
    _tickets: Any = attrs.field(factory=lambda: count(1))

    def announce(self, record: BackendRecord) -> None:
        """Add a backend server, or update it, from its announcement."""
        now = self.reactor.seconds()
        key = (record.service_name, record.address)
        backend = self._backends_by_key.get(key)
        if backend is None:
            self._backends_by_key[key] = self._create(record, now)
            self._notify_changed()
            return
        if backend.is_outdated(record, now):
            return
        is_changed = backend.record != record or backend.expired
        backend.update_record(record, now)
        if is_changed:
            if record.leaving:
                backend.refuse_waiting('backend server is leaving')
            self._notify_changed()

    def find(self, service_name: ServiceName) -> LocalBackend | None:
        """Return the backend server of a service that gets new requests."""
        candidates = [
            backend
            for backend in self._backends_by_key.values()
            if backend.record.service_name == service_name
            and backend.accepts_work
        ]
        return candidates[-1] if candidates else None

    def records(self) -> list[BackendRecord]:
        """Return the records of backend servers to announce to control."""
        return [
            backend.record
            for backend in self._backends_by_key.values()
            if not backend.expired
        ]

    def reports(self) -> list[ServiceReport]:
        """Return answer times and load of each backend server."""
        return [
            backend.service_report()
            for backend in self._backends_by_key.values()
        ]

    def all_backends(self) -> list[LocalBackend]:
        """Return every backend server, including those that are leaving."""
        return list(self._backends_by_key.values())

    def in_flight(self) -> int:
        """Return how many requests have not ended."""
        return sum(
            len(backend.requests_by_ticket)
            for backend in self._backends_by_key.values()
        )

    def next_ticket(self) -> Ticket:
        """Return a request number that is unique in this process."""
        return Ticket(next(self._tickets))

    def expire(self, now: float, limit_seconds: float) -> None:
        """Expire backend servers that have not announced themselves in time.

        Expired ones get no new requests, and are removed once their requests
        have ended.
        """
        for key, backend in list(self._backends_by_key.items()):
            silent = now - backend.announced_at > limit_seconds
            if silent and not backend.expired:
                backend.expired = True
                backend.refuse_waiting('backend server is silent')
                self._notify_changed()
            if backend.expired and not backend.requests_by_ticket:
                backend.pool.close_idle()
                self._backends_by_key.pop(key)

    def _create(self, record: BackendRecord, now: float) -> LocalBackend:
        pool = BackendPool(
            endpoint=parse_endpoint(record.address),
            limit=record.connections,
            reactor=self.reactor,
        )
        backend = LocalBackend(
            record=record,
            pool=pool,
            diagnosis=CrashDiagnosis(pool),
            is_closed=lambda: self.is_closed,
            table=create_slot_table(record.slots, record.connections),
            claims=self.claims,
            clock=self.reactor,
            announced_at=now,
            left_at=now,
            on_change=self.on_change,
        )
        backend.diagnosis.on_crash = backend.handle_crash
        return backend

    def _notify_changed(self) -> None:
        for callback in self.on_change:
            callback()

"""Links to the announced agents, with the load and health of each."""

from random import Random
from typing import Any, final

import attrs

from wasabiturn.connection.dialer import Dialer
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import parse_endpoint
from wasabiturn.connection.link import Link
from wasabiturn.ids import DataCentre, InstanceName, ServiceName
from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.session import AgentRecord, BackendRecord
from wasabiturn.process.entry.session import EntrySession
from wasabiturn.request.health import AgentHealth
from wasabiturn.request.load import AgentLoad
from wasabiturn.request.routing import Candidate
from wasabiturn.utils.logs import create_component_log

# An agent that has sent nothing for this long gets no new requests.
MAX_SILENCE_SECONDS = 0.8

_log = create_component_log('entry')


@final
@attrs.define
class _KnownAgent:
    record: AgentRecord
    dialer: Dialer
    candidates_by_service: dict[ServiceName, Candidate] = attrs.field(
        factory=dict,
    )

    def in_flight(self) -> int:
        """Return the number of this entry's requests at the agent."""
        candidates = self.candidates_by_service.values()
        return sum(candidate.load.in_flight for candidate in candidates)


@final
class AgentPool:
    """Connects to every announced agent and lists candidates by service.

    The agents come from the view, the session's copy of the control group's
    state.
    """

    def __init__(
        self,
        session: EntrySession,
        dispatch: Dispatch,
        reactor: Any,
        random: Random,
    ) -> None:
        """Create an empty pool; ``refresh`` fills it from the view."""
        self._session = session
        self._dispatch = dispatch
        self._reactor = reactor
        self._random = random
        self._known_by_name: dict[InstanceName, _KnownAgent] = {}
        self._retired: list[_KnownAgent] = []
        self._candidates_by_service: dict[ServiceName, list[Candidate]] = {}

    def refresh(self) -> None:
        """Update links and candidates from the view."""
        records_by_name = self._session.view.agents_by_name
        for name in list(self._known_by_name):
            record = records_by_name.get(name)
            if record is None or self._is_replaced(name, record):
                self._retire(name)
        for name, record in records_by_name.items():
            if record.address:
                self._update(InstanceName(name), record)
        self._index_candidates()
        self._stop_retired()

    def has_service(self, service_name: ServiceName) -> bool:
        """Return whether a service is declared or has a backend server."""
        services = self._session.view.resources_by_kind[Kind.service]
        if service_name in services:
            return True
        return any(
            service_name in known.candidates_by_service
            for known in self._known_by_name.values()
        )

    def find_candidates(self, service_name: ServiceName) -> list[Candidate]:
        """Return the agents that may get new requests of a service.

        Their ``reachable`` is updated.
        """
        candidates = self._candidates_by_service.get(service_name, [])
        now = self._reactor.seconds()
        for candidate in candidates:
            link = self.find_link(candidate.name)
            candidate.reachable = link is not None and (
                now - link.last_received < MAX_SILENCE_SECONDS
            )
        return candidates

    def count_in_flight(self) -> int:
        """Return the number of this entry's requests at all agents."""
        known = (*self._known_by_name.values(), *self._retired)
        return sum(each.in_flight() for each in known)

    def close_unused_links(self) -> None:
        """Close the links of retired agents without requests in flight."""
        if self._retired:
            self._stop_retired()

    def find_link(self, name: InstanceName) -> Link | None:
        """Return the current link to an agent; ``None`` if there is none."""
        known = self._known_by_name.get(name)
        return None if known is None else known.dialer.link

    def stop(self) -> None:
        """Close every link."""
        for known in (*self._known_by_name.values(), *self._retired):
            known.dialer.stop()
        self._known_by_name.clear()
        self._retired.clear()

    def _is_replaced(self, name: InstanceName, record: AgentRecord) -> bool:
        known = self._known_by_name[name].record
        return (known.address, known.incarnation) != (
            record.address,
            record.incarnation,
        )

    def _retire(self, name: InstanceName) -> None:
        known = self._known_by_name.pop(name)
        _log.event(
            'agent removed or replaced; sending it no new requests', agent=name
        )
        self._retired.append(known)

    def _stop_retired(self) -> None:
        for known in list(self._retired):
            if known.in_flight() <= 0 or known.dialer.link is None:
                known.dialer.stop()
                self._retired.remove(known)

    def _update(self, name: InstanceName, record: AgentRecord) -> None:
        known = self._known_by_name.get(name)
        if known is None:
            known = self._dial(name, record)
        known.record = record
        backends_by_service = {
            ServiceName(backend.service_name): backend
            for backend in record.backends
        }
        for service_name in set(known.candidates_by_service):
            if service_name not in backends_by_service:
                known.candidates_by_service.pop(service_name)
        for service_name, backend in backends_by_service.items():
            if service_name not in known.candidates_by_service:
                created = self._create_candidate(record, backend)
                known.candidates_by_service[service_name] = created

    def _dial(self, name: InstanceName, record: AgentRecord) -> _KnownAgent:
        dialer = Dialer(
            endpoint=parse_endpoint(record.address),
            dispatch=self._dispatch,
            reactor=self._reactor,
            random=self._random,
        )
        known = _KnownAgent(record=record, dialer=dialer)
        self._known_by_name[name] = known
        dialer.start()
        _log.event(
            'connecting to a new agent', agent=name, address=record.address
        )
        return known

    def _create_candidate(
        self,
        record: AgentRecord,
        backend: BackendRecord,
    ) -> Candidate:
        return Candidate(
            name=InstanceName(record.name),
            data_centre=DataCentre(record.data_centre),
            load=AgentLoad(slots=backend.slots),
            health=AgentHealth(first_seen=self._reactor.seconds()),
        )

    def _index_candidates(self) -> None:
        self._candidates_by_service = {}
        for known in self._known_by_name.values():
            for backend in known.record.backends:
                if not self._is_leaving(known.record, backend):
                    service_name = ServiceName(backend.service_name)
                    self._candidates_by_service.setdefault(
                        service_name,
                        [],
                    ).append(known.candidates_by_service[service_name])

    def _is_leaving(self, record: AgentRecord, backend: BackendRecord) -> bool:
        if record.leaving or backend.leaving:
            return True
        data_centres = self._session.view.resources_by_kind[Kind.data_centre]
        resource = data_centres.get(record.data_centre)
        if resource is None or resource.data_centre_spec is None:
            return False
        return resource.data_centre_spec.out

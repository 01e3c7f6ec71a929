"""One backend server that has announced itself, and its requests."""

from collections import deque
from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, succeed

from wasabiturn.connection.backend import IDLE_LIMIT_SECONDS, BackendPool
from wasabiturn.ids import ClaimId, Ticket
from wasabiturn.messages.kinds import CrashSuspicion
from wasabiturn.messages.session import (
    BackendRecord,
    LoadReport,
    ServiceReport,
)
from wasabiturn.process.agent.crash_diagnosis import CrashDiagnosis
from wasabiturn.request.admission import (
    SlotTable,
    apply,
)
from wasabiturn.request.admission_events import (
    Arrived,
    DeadlinesChecked,
    Decisions,
    Finished,
    LimitsChanged,
    Withdrawn,
)
from wasabiturn.request.agent_claims import AgentClaims
from wasabiturn.request.estimates import RecentTimes, ServiceTimes
from wasabiturn.request.served import (
    IN_FLIGHT_PHASES,
    Phase,
    ServedRequest,
    describe_awaited_answer,
    is_overdue,
)
from wasabiturn.request.silence import is_silent
from wasabiturn.utils.logs import create_component_log

MILLISECONDS = 1000
# How long after an announcement of leaving an older one may still arrive.
LATE_ANNOUNCEMENT_SECONDS = 2.0
# How many replaced incarnations are remembered.
MAX_FORMER_INCARNATIONS = 16
P95 = 0.95
P99 = 0.99

_log = create_component_log('admission')


def _create_former() -> deque[str]:
    return deque(maxlen=MAX_FORMER_INCARNATIONS)


@final
@attrs.define(eq=False)
class LocalBackend:
    """One announced backend server and its requests."""

    record: BackendRecord
    pool: BackendPool
    table: SlotTable
    claims: AgentClaims
    clock: Any
    announced_at: float
    diagnosis: CrashDiagnosis
    # Whether the agent accepts no new work.
    is_closed: Callable[[], bool]
    answer_times: ServiceTimes = attrs.field(factory=ServiceTimes)
    recent_times: RecentTimes = attrs.field(factory=RecentTimes)
    answered: int = 0
    crashes: int = 0
    # When the newest request that has been answered was sent.
    newest_answered: float = 0.0
    expired: bool = False
    # When leaving was last announced.
    left_at: float = 0.0
    # Those that a newer one at the address has replaced.
    former_incarnations: deque[str] = attrs.field(factory=_create_former)
    on_change: list[Callable[[], None]] = attrs.field(factory=list)
    requests_by_ticket: dict[Ticket, ServedRequest] = attrs.field(factory=dict)

    @property
    def accepts_work(self) -> bool:
        """Return whether the backend server may get new requests."""
        return not self.record.leaving and not self.expired

    def request_slot(self, request: ServedRequest) -> None:
        """Request a slot for ``request``."""
        event = Arrived(
            ticket=request.ticket,
            caller=request.head.caller,
            deadline=request.deadline,
        )
        self._apply(event)

    def release_slot(self, request: ServedRequest, ran: bool) -> None:
        """Release the slot of ``request``, or its place in the queue."""
        self.requests_by_ticket.pop(request.ticket, None)
        if request.head.claim_id:
            self.claims.finish(ClaimId(request.head.claim_id), ran=ran)
        if request.ticket in self.table.started_by_ticket:
            self._apply(Finished(request.ticket))
        else:
            self._apply(Withdrawn(request.ticket))

    def mark_unreachable(self) -> None:
        """Give the backend server no work until it announces itself again."""
        if self.expired:
            return
        _log.event(
            'backend server refused the connection; '
            'sending it no work until it announces itself again',
            address=self.record.address,
        )
        self.expired = True
        self.refuse_waiting('backend server is unreachable')
        for callback in self.on_change:
            callback()

    def diagnose_loss(self, request: ServedRequest) -> Deferred[CrashSuspicion]:
        """Find out whether the backend server crashed under ``request``."""
        if self.record.leaving or self.is_closed():
            return succeed(CrashSuspicion.none)
        in_flight = {
            ticket: each.head.crashes
            for ticket, each in self.requests_by_ticket.items()
            if each.phase in IN_FLIGHT_PHASES
        }
        return self.diagnosis.diagnose(request.ticket, in_flight)

    def handle_crash(self, crashes_by_ticket: dict[Ticket, int]) -> None:
        """Stop using a backend server that crashed."""
        self.crashes += 1
        _log.decision(
            'backend server crashed',
            service=self.record.service_name,
            address=self.record.address,
            requests=[
                each.head.request_id
                for ticket, each in self.requests_by_ticket.items()
                if ticket in crashes_by_ticket
            ],
            suspects=sum(1 for each in crashes_by_ticket.values() if each),
            chosen='unreachable',
        )
        self.mark_unreachable()

    def observe_answer(self, seconds: float) -> None:
        """Record the seconds from sending a request to its answer's head."""
        self.answered += 1
        now = self.clock.seconds()
        sent_at = now - seconds
        self.recent_times.observe(seconds, now)
        self.newest_answered = max(self.newest_answered, sent_at)
        self.answer_times.observe(seconds)

    def load_report(self) -> LoadReport:
        """Return the present load."""
        return LoadReport(
            service_name=self.record.service_name,
            running=len(self.table.started_by_ticket),
            waiting=len(self.table.queue),
            slots=self.table.capacity,
            mean_service_ms=self.table.times.mean_seconds * MILLISECONDS,
            p95_ms=self.answer_times.percentile(P95) * MILLISECONDS,
        )

    def service_report(self) -> ServiceReport:
        """Return recent answer times and load for the agent's heartbeat."""
        now = self.clock.seconds()
        running = len(self.table.started_by_ticket)
        return ServiceReport(
            service_name=self.record.service_name,
            p99_ms=self.recent_times.percentile(P99, now) * MILLISECONDS,
            load=running / max(self.table.capacity, 1),
            answered=self.recent_times.count(now),
        )

    def is_outdated(self, record: BackendRecord, now: float) -> bool:
        """Return whether an announcement may be older than the newest.

        It is from an incarnation that another one has replaced, or may have
        been sent before that of leaving.
        """
        if record.incarnation in self.former_incarnations:
            return True
        if record.leaving or record.incarnation != self.record.incarnation:
            return False
        seconds_since = now - self.left_at
        return self.record.leaving and seconds_since < LATE_ANNOUNCEMENT_SECONDS

    def update_record(self, record: BackendRecord, now: float) -> None:
        """Apply a repeated announcement of this backend server."""
        former = self.record.incarnation
        is_successor = record.incarnation != former
        if is_successor or record.leaving:
            self.pool.close_idle()
        if is_successor and former:
            self.former_incarnations.append(former)
        self.record = record
        if record.leaving:
            self.left_at = now
        self.announced_at = now
        self.expired = False
        self.pool.limit = record.connections
        self._apply(LimitsChanged(record.slots, record.connections))

    def check_requests(self, now: float) -> None:
        """End requests that are overdue or whose connection is silent."""
        if self.table.queue:
            self._apply(DeadlinesChecked())
        for request in list(self.requests_by_ticket.values()):
            if is_overdue(request, now):
                request.expire()
            elif self._is_silent(request, now):
                self._drop_silent(request)
        self.pool.reap(now, IDLE_LIMIT_SECONDS)

    def refuse_waiting(self, reason: str) -> None:
        """Refuse every request that has not been given a slot."""
        for request in list(self.requests_by_ticket.values()):
            if request.phase in {Phase.gathering, Phase.queued}:
                request.refuse(reason)

    def _is_silent(self, request: ServedRequest, now: float) -> bool:
        awaited = describe_awaited_answer(request)
        if awaited is None:
            return False
        p99_seconds = self.answer_times.percentile(P99)
        return is_silent(awaited, self.newest_answered, p99_seconds, now)

    def _drop_silent(self, request: ServedRequest) -> None:
        """Drop a silent connection, and the idle ones, which are as old."""
        _log.decision(
            'silent connection dropped',
            request=request.head.request_id,
            service=self.record.service_name,
            sent_at=request.sent_at,
            newest_answered=self.newest_answered,
        )
        request.abort('connection to the backend is silent')
        self.pool.close_idle()

    def _apply(self, event: object) -> None:
        decisions = apply(event, self.table, self.clock.seconds())
        self._carry_out(decisions)

    def _carry_out(self, decisions: Decisions) -> None:
        for refused in decisions.refused:
            request = self.requests_by_ticket[refused.ticket]
            _log.decision(
                'request refused',
                request=request.head.request_id,
                service=self.record.service_name,
                running=len(self.table.started_by_ticket),
                waiting=len(self.table.queue),
                retry_after=refused.retry_after_seconds,
                chosen=refused.reason,
            )
            request.refuse(refused.reason, refused.retry_after_seconds)
        for ticket in decisions.started:
            self.requests_by_ticket[ticket].start()

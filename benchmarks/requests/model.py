"""Discrete-event simulation of one service: entries, agents, backend servers.

Routing, retries, hedges and admission are the package's own pure functions;
the simulation supplies the clock, latencies and service times.
"""

import heapq
import itertools
from collections.abc import Callable
from functools import partial
from random import Random
from typing import final

import attrs
from hdrh.histogram import HdrHistogram

from benchmarks.requests.deployments import Deployment, Scenario
from benchmarks.requests.policies import Policy
from wasabiturn.ids import DataCentre, InstanceName, Ticket
from wasabiturn.messages.session import LoadReport
from wasabiturn.request.admission import (
    SlotTable,
    apply,
    create_slot_table,
)
from wasabiturn.request.admission_events import (
    Arrived,
    DeadlinesChecked,
    Decisions,
    Finished,
    Withdrawn,
)
from wasabiturn.request.health import (
    AgentHealth,
    record_failure,
    record_success,
)
from wasabiturn.request.load import (
    AgentLoad,
    estimate_in_use,
    record_done,
    record_report,
    record_sent,
)
from wasabiturn.request.retry import (
    LatencyWindow,
    RetryBudget,
    UnansweredRequest,
    earn_retry,
    may_hedge,
    may_retry,
)
from wasabiturn.request.routing import MAX_HEDGE_UTILIZATION, Candidate

# Time after the loss of a worker until entries regard it as unreachable, and
# until their attempts there fail.
UNREACHABLE_AFTER_SECONDS = 0.8
ATTEMPTS_FAIL_AFTER_SECONDS = 1.6
DEADLINE_CHECK_SECONDS = 0.025
IDEMPOTENT_SHARE = 0.8
DEADLINE_SECONDS = 1.0
WARM_UP_SECONDS = 1.0
MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_SECONDS = 10

Action = Callable[[], None]
Event = tuple[float, int, Action]


@final
@attrs.define(eq=False)
class Worker:
    """One agent with its backend server."""

    name: InstanceName
    data_centre: DataCentre
    table: SlotTable
    lost_at: float | None = None
    attempts_by_ticket: dict[Ticket, 'Attempt'] = attrs.field(factory=dict)


@final
@attrs.define(eq=False)
class Entry:
    """One entry, with its view of the agents."""

    data_centre: DataCentre
    random: Random
    candidates: list[Candidate] = attrs.field(factory=list)
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    window: LatencyWindow = attrs.field(factory=LatencyWindow)
    round_robin_index: int = 0


@final
@attrs.define(eq=False)
class Request:
    """A request of a caller, with all its attempts."""

    entry: Entry
    caller: str
    arrived_at: float
    idempotent: bool
    attempt_count: int = 0
    certainly_not_run: bool = True
    done: bool = False
    active_attempts: list['Attempt'] = attrs.field(factory=list)
    tried_names: set[InstanceName] = attrs.field(factory=set)


@final
@attrs.define(eq=False)
class Attempt:
    """An attempt of a request at one worker."""

    ticket: Ticket
    request: Request
    worker: Worker
    candidate: Candidate
    sent_at: float
    running: bool = False
    ended: bool = False


@final
@attrs.define
class Counts:
    """Outcomes of the requests that arrived after the warm-up."""

    histogram: HdrHistogram
    offered: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    attempts: int = 0


@final
class Model:
    """Simulate one policy in one deployment and scenario."""

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        policy: Policy,
        seed: int,
    ) -> None:
        self.now = 0.0
        self.counts = Counts(
            HdrHistogram(1, MAX_LATENCY_SECONDS * MICROSECONDS_PER_SECOND, 3),
        )
        self._deployment = deployment
        self._scenario = scenario
        self._policy = policy
        self._random = Random(seed)
        self._events: list[Event] = []
        self._sequence = itertools.count()
        self._active_attempts: set[Attempt] = set()
        self._workers = [self._create_worker(each) for each in range(11)]
        self._entries = [
            self._create_entry(DataCentre(name), seed)
            for name in deployment.data_centres
        ]

    def run(self, load: float, seconds: float) -> Counts:
        """Offer ``load`` times the capacity for ``seconds``."""
        slots = sum(worker.table.slots for worker in self._workers)
        rate = load * slots / self._deployment.service_seconds
        self._schedule_at(0, lambda: self._arrive(rate, seconds))
        self._schedule_at(
            DEADLINE_CHECK_SECONDS, lambda: self._check_deadlines(seconds)
        )
        for worker in self._workers[: self._scenario.lost_workers]:
            self._schedule_at(
                self._scenario.start_seconds, partial(self._lose_worker, worker)
            )
        while self._events:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        return self.counts

    def _create_worker(self, number: int) -> Worker:
        names = self._deployment.data_centres
        return Worker(
            name=InstanceName(f'worker-{number}'),
            data_centre=DataCentre(names[number % len(names)]),
            table=create_slot_table(8, 64),
        )

    def _create_entry(self, data_centre: DataCentre, seed: int) -> Entry:
        entry = Entry(data_centre, Random(f'{seed} {data_centre}'))
        entry.candidates = [
            Candidate(
                name=worker.name,
                data_centre=worker.data_centre,
                load=AgentLoad(slots=8),
                health=AgentHealth(first_seen=-100),
            )
            for worker in self._workers
        ]
        return entry

    def _schedule_at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def _schedule_after(
        self, seconds: float, action: Callable[[], None]
    ) -> None:
        self._schedule_at(self.now + seconds, action)

    def _arrive(self, rate: float, end: float) -> None:
        if self.now > end:
            return
        self._schedule_after(
            self._random.expovariate(rate),
            lambda: self._arrive(rate, end),
        )
        request = Request(
            entry=self._random.choice(self._entries),
            caller=f'caller-{self._random.randrange(50)}',
            arrived_at=self.now,
            idempotent=self._random.random() < IDEMPOTENT_SHARE,
        )
        if self.now >= WARM_UP_SECONDS:
            self.counts.offered += 1
        self._schedule_after(
            self._deployment.caller_seconds,
            lambda: self._receive_request(request),
        )

    def _receive_request(self, request: Request) -> None:
        earn_retry(request.entry.budget)
        if not self._send(request):
            self._fail(request)
            return
        hedge_seconds = request.entry.window.hedge_seconds
        if self._policy.hedges and request.idempotent and hedge_seconds:
            self._schedule_after(hedge_seconds, lambda: self._hedge(request))
        self._schedule_at(
            request.arrived_at + DEADLINE_SECONDS,
            lambda: self._expire(request),
        )

    def _send(self, request: Request, *, hedge: bool = False) -> bool:
        entry = request.entry
        self._mark_reachable(entry)
        untried = [
            each
            for each in entry.candidates
            if each.name not in request.tried_names
        ]
        chosen = self._policy.choose(
            entry, untried or entry.candidates, self.now
        )
        if chosen is None:
            return False
        if hedge and not self._may_hedge(request):
            return False
        worker = next(w for w in self._workers if w.name == chosen.name)
        attempt = Attempt(
            ticket=Ticket(next(self._sequence)),
            request=request,
            worker=worker,
            candidate=chosen,
            sent_at=self.now,
        )
        request.attempt_count += 1
        request.tried_names.add(chosen.name)
        request.active_attempts.append(attempt)
        self._active_attempts.add(attempt)
        record_sent(chosen.load, self.now)
        if request.arrived_at >= WARM_UP_SECONDS:
            self.counts.attempts += 1
        self._schedule_after(
            self._network_seconds(attempt), lambda: self._deliver(attempt)
        )
        return True

    def _mark_reachable(self, entry: Entry) -> None:
        for candidate, worker in zip(
            entry.candidates,
            self._workers,
            strict=True,
        ):
            candidate.reachable = (
                worker.lost_at is None
                or self.now - worker.lost_at < UNREACHABLE_AFTER_SECONDS
            )

    def _network_seconds(self, attempt: Attempt) -> float:
        entry = attempt.request.entry
        if attempt.worker.data_centre == entry.data_centre:
            return self._deployment.near_seconds
        return self._deployment.far_seconds

    def _deliver(self, attempt: Attempt) -> None:
        worker = attempt.worker
        if worker.lost_at is not None or attempt.ended:
            return
        worker.attempts_by_ticket[attempt.ticket] = attempt
        request = attempt.request
        event = Arrived(
            attempt.ticket,
            request.caller,
            request.arrived_at + DEADLINE_SECONDS,
        )
        self._apply_decisions(worker, apply(event, worker.table, self.now))

    def _apply_decisions(self, worker: Worker, decisions: Decisions) -> None:
        for ticket in decisions.started:
            attempt = worker.attempts_by_ticket[ticket]
            attempt.running = True
            self._schedule_after(
                self._draw_service_seconds(worker),
                partial(self._finish, attempt),
            )
        for refused in decisions.refused:
            attempt = worker.attempts_by_ticket.pop(refused.ticket)
            self._send_reply(attempt, answered=False)

    def _draw_service_seconds(self, worker: Worker) -> float:
        mean = self._deployment.service_seconds
        number = self._workers.index(worker)
        sigma = 0.5
        drawn = self._random.lognormvariate(-sigma * sigma / 2, sigma)
        return mean * drawn * self._scenario.slowdown(number, self.now)

    def _finish(self, attempt: Attempt) -> None:
        worker = attempt.worker
        if worker.lost_at is not None:
            return
        worker.attempts_by_ticket.pop(attempt.ticket, None)
        event = Finished(attempt.ticket)
        self._apply_decisions(worker, apply(event, worker.table, self.now))
        self._send_reply(attempt, answered=True)

    def _send_reply(self, attempt: Attempt, *, answered: bool) -> None:
        table = attempt.worker.table
        report = LoadReport(
            running=len(table.started_by_ticket),
            waiting=len(table.queue),
            slots=table.capacity,
            mean_service_ms=table.times.mean_seconds * 1000,
        )
        self._schedule_after(
            self._network_seconds(attempt),
            lambda: self._receive_reply(attempt, report, answered=answered),
        )

    def _receive_reply(
        self,
        attempt: Attempt,
        report: LoadReport,
        *,
        answered: bool,
    ) -> None:
        if attempt.ended:
            return
        record_report(attempt.candidate.load, report, self.now)
        self._end(attempt)
        request = attempt.request
        if not answered:
            self._retry_or_fail(request)
            return
        record_success(attempt.candidate.health)
        request.entry.window.record(self.now - attempt.sent_at)
        request.done = True
        for other in list(request.active_attempts):
            self._cancel(other)
        latency = (
            self.now + self._deployment.caller_seconds - request.arrived_at
        )
        if request.arrived_at >= WARM_UP_SECONDS:
            self.counts.answered += 1
            self.counts.histogram.record_value(
                int(latency * MICROSECONDS_PER_SECOND)
            )

    def _end(self, attempt: Attempt) -> None:
        attempt.ended = True
        attempt.request.active_attempts.remove(attempt)
        self._active_attempts.discard(attempt)
        record_done(attempt.candidate.load)

    def _cancel(self, attempt: Attempt) -> None:
        """Withdraw an attempt that waits; one that runs keeps its slot."""
        self._end(attempt)
        worker = attempt.worker
        if not attempt.running and attempt.ticket in worker.attempts_by_ticket:
            worker.attempts_by_ticket.pop(attempt.ticket)
            event = Withdrawn(attempt.ticket)
            self._apply_decisions(worker, apply(event, worker.table, self.now))

    def _retry_or_fail(self, request: Request) -> None:
        if request.done or request.active_attempts:
            return
        unanswered = UnansweredRequest(
            idempotent=request.idempotent,
            certainly_not_run=request.certainly_not_run,
            repeatable=True,
            attempts=request.attempt_count,
            deadline=request.arrived_at + DEADLINE_SECONDS,
        )
        if (
            not self._policy.retries
            or not may_retry(
                unanswered,
                request.entry.budget,
                self.now,
            )
            or not self._send(request)
        ):
            self._fail(request)

    def _fail(self, request: Request) -> None:
        request.done = True
        if request.arrived_at < WARM_UP_SECONDS:
            return
        if request.certainly_not_run:
            self.counts.not_run += 1
        else:
            self.counts.unknown += 1

    def _hedge(self, request: Request) -> None:
        if not request.done:
            self._send(request, hedge=True)

    def _may_hedge(self, request: Request) -> bool:
        loads = [each.load for each in request.entry.candidates]
        used = sum(estimate_in_use(load, self.now) for load in loads)
        slots = sum(load.slots for load in loads)
        if (
            self._policy.hedges_only_when_idle
            and used > slots * MAX_HEDGE_UTILIZATION
        ):
            return False
        return may_hedge(request.attempt_count, request.entry.budget)

    def _expire(self, request: Request) -> None:
        if request.done:
            return
        request.certainly_not_run = False
        for attempt in list(request.active_attempts):
            self._cancel(attempt)
        self._fail(request)

    def _lose_worker(self, worker: Worker) -> None:
        worker.lost_at = self.now
        self._schedule_after(
            ATTEMPTS_FAIL_AFTER_SECONDS, lambda: self._fail_attempts(worker)
        )

    def _fail_attempts(self, worker: Worker) -> None:
        """Fail the unanswered attempts at a worker that was lost."""
        pending = [
            attempt
            for attempt in self._active_attempts
            if attempt.worker is worker
        ]
        for attempt in pending:
            record_failure(attempt.candidate.health, self.now)
            self._end(attempt)
            attempt.request.certainly_not_run = False
            self._retry_or_fail(attempt.request)

    def _check_deadlines(self, end: float) -> None:
        for worker in self._workers:
            if worker.lost_at is None and worker.table.queue:
                decisions = apply(DeadlinesChecked(), worker.table, self.now)
                self._apply_decisions(worker, decisions)
        if self.now < end + DEADLINE_SECONDS:
            self._schedule_after(
                DEADLINE_CHECK_SECONDS, lambda: self._check_deadlines(end)
            )

"""Model of one service: entries, agents and backend servers.

Routing, retries, hedges and admission are the package's own pure functions;
the model supplies time, latencies and service times.
"""

import heapq
import itertools
from collections.abc import Callable
from functools import partial
from random import Random
from typing import final

import attrs
from hdrh.histogram import HdrHistogram

from benchmarks.requests.policies import Policy
from benchmarks.requests.shapes import Scenario, Shape
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

QUIET_SECONDS = 0.8
DROP_SECONDS = 1.6
REVIEW_SECONDS = 0.025
IDEMPOTENT_SHARE = 0.8
DEADLINE_SECONDS = 1.0
WARM_UP_SECONDS = 1.0
MICROSECONDS = 1_000_000
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
    """One entry and what it believes."""

    data_centre: DataCentre
    random: Random
    candidates: list[Candidate] = attrs.field(factory=list)
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    window: LatencyWindow = attrs.field(factory=LatencyWindow)
    turn: int = 0


@final
@attrs.define(eq=False)
class Request:
    """One request of a caller."""

    entry: Entry
    caller: str
    arrived: float
    idempotent: bool
    made: int = 0
    certainly_not_run: bool = True
    done: bool = False
    active: list['Attempt'] = attrs.field(factory=list)
    tried: set[InstanceName] = attrs.field(factory=set)


@final
@attrs.define(eq=False)
class Attempt:
    """One request at one worker."""

    ticket: Ticket
    request: Request
    worker: Worker
    candidate: Candidate
    sent: float
    running: bool = False
    ended: bool = False


@final
@attrs.define
class Counts:
    """What became of the requests that arrived after the warm-up."""

    histogram: HdrHistogram
    offered: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    attempts: int = 0


@final
class Model:
    """One run of one policy."""

    def __init__(
        self,
        shape: Shape,
        scenario: Scenario,
        policy: Policy,
        seed: int,
    ) -> None:
        self.now = 0.0
        self.counts = Counts(
            HdrHistogram(1, MAX_LATENCY_SECONDS * MICROSECONDS, 3),
        )
        self._shape = shape
        self._scenario = scenario
        self._policy = policy
        self._random = Random(seed)
        self._events: list[Event] = []
        self._numbers = itertools.count()
        self._active: set[Attempt] = set()
        self._workers = [self._create_worker(each) for each in range(11)]
        self._entries = [
            self._create_entry(DataCentre(name), seed)
            for name in shape.data_centres
        ]

    def run(self, load: float, seconds: float) -> Counts:
        """Offer ``load`` times the capacity for ``seconds``."""
        slots = sum(worker.table.slots for worker in self._workers)
        rate = load * slots / self._shape.service_seconds
        self._at(0, lambda: self._arrive(rate, seconds))
        self._at(REVIEW_SECONDS, lambda: self._review(seconds))
        for worker in self._workers[: self._scenario.lost]:
            self._at(self._scenario.starts, partial(self._lose, worker))
        while self._events:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        return self.counts

    def _create_worker(self, number: int) -> Worker:
        names = self._shape.data_centres
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

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        self._at(self.now + seconds, action)

    def _arrive(self, rate: float, end: float) -> None:
        if self.now > end:
            return
        self._after(
            self._random.expovariate(rate),
            lambda: self._arrive(rate, end),
        )
        request = Request(
            entry=self._random.choice(self._entries),
            caller=f'caller-{self._random.randrange(50)}',
            arrived=self.now,
            idempotent=self._random.random() < IDEMPOTENT_SHARE,
        )
        if self.now >= WARM_UP_SECONDS:
            self.counts.offered += 1
        self._after(self._shape.caller_seconds, lambda: self._open(request))

    def _open(self, request: Request) -> None:
        earn_retry(request.entry.budget)
        if not self._send(request):
            self._refuse(request)
            return
        hedge_seconds = request.entry.window.hedge_seconds
        if self._policy.hedges and request.idempotent and hedge_seconds:
            self._after(hedge_seconds, lambda: self._hedge(request))
        self._at(
            request.arrived + DEADLINE_SECONDS,
            lambda: self._expire(request),
        )

    def _send(self, request: Request, *, hedge: bool = False) -> bool:
        entry = request.entry
        self._mark_reachable(entry)
        fresh = [
            each for each in entry.candidates if each.name not in request.tried
        ]
        chosen = self._policy.choose(entry, fresh or entry.candidates, self.now)
        if chosen is None:
            return False
        if hedge and not self._may_hedge(request):
            return False
        worker = next(w for w in self._workers if w.name == chosen.name)
        attempt = Attempt(
            ticket=Ticket(next(self._numbers)),
            request=request,
            worker=worker,
            candidate=chosen,
            sent=self.now,
        )
        request.made += 1
        request.tried.add(chosen.name)
        request.active.append(attempt)
        self._active.add(attempt)
        record_sent(chosen.load, self.now)
        if request.arrived >= WARM_UP_SECONDS:
            self.counts.attempts += 1
        self._after(self._crossing(attempt), lambda: self._reach(attempt))
        return True

    def _mark_reachable(self, entry: Entry) -> None:
        for candidate, worker in zip(
            entry.candidates,
            self._workers,
            strict=True,
        ):
            candidate.reachable = (
                worker.lost_at is None
                or self.now - worker.lost_at < QUIET_SECONDS
            )

    def _crossing(self, attempt: Attempt) -> float:
        entry = attempt.request.entry
        if attempt.worker.data_centre == entry.data_centre:
            return self._shape.near_seconds
        return self._shape.far_seconds

    def _reach(self, attempt: Attempt) -> None:
        worker = attempt.worker
        if worker.lost_at is not None or attempt.ended:
            return
        worker.attempts_by_ticket[attempt.ticket] = attempt
        request = attempt.request
        event = Arrived(
            attempt.ticket,
            request.caller,
            request.arrived + DEADLINE_SECONDS,
        )
        self._carry_out(worker, apply(event, worker.table, self.now))

    def _carry_out(self, worker: Worker, decisions: Decisions) -> None:
        for ticket in decisions.started:
            attempt = worker.attempts_by_ticket[ticket]
            attempt.running = True
            self._after(
                self._draw_service(worker),
                partial(self._finish, attempt),
            )
        for refused in decisions.refused:
            attempt = worker.attempts_by_ticket.pop(refused.ticket)
            self._reply(attempt, answered=False)

    def _draw_service(self, worker: Worker) -> float:
        mean = self._shape.service_seconds
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
        self._carry_out(worker, apply(event, worker.table, self.now))
        self._reply(attempt, answered=True)

    def _reply(self, attempt: Attempt, *, answered: bool) -> None:
        table = attempt.worker.table
        report = LoadReport(
            running=len(table.started_by_ticket),
            waiting=len(table.queue),
            slots=table.capacity,
            mean_service_ms=table.times.mean_seconds * 1000,
        )
        self._after(
            self._crossing(attempt),
            lambda: self._take(attempt, report, answered=answered),
        )

    def _take(
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
            self._settle(request)
            return
        record_success(attempt.candidate.health)
        request.entry.window.record(self.now - attempt.sent)
        request.done = True
        for other in list(request.active):
            self._cancel(other)
        latency = self.now + self._shape.caller_seconds - request.arrived
        if request.arrived >= WARM_UP_SECONDS:
            self.counts.answered += 1
            self.counts.histogram.record_value(int(latency * MICROSECONDS))

    def _end(self, attempt: Attempt) -> None:
        attempt.ended = True
        attempt.request.active.remove(attempt)
        self._active.discard(attempt)
        record_done(attempt.candidate.load)

    def _cancel(self, attempt: Attempt) -> None:
        """Withdraw an attempt that waits; one that runs keeps its slot."""
        self._end(attempt)
        worker = attempt.worker
        if not attempt.running and attempt.ticket in worker.attempts_by_ticket:
            worker.attempts_by_ticket.pop(attempt.ticket)
            event = Withdrawn(attempt.ticket)
            self._carry_out(worker, apply(event, worker.table, self.now))

    def _settle(self, request: Request) -> None:
        if request.done or request.active:
            return
        unanswered = UnansweredRequest(
            idempotent=request.idempotent,
            certainly_not_run=request.certainly_not_run,
            repeatable=True,
            attempts=request.made,
            deadline=request.arrived + DEADLINE_SECONDS,
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
            self._refuse(request)

    def _refuse(self, request: Request) -> None:
        request.done = True
        if request.arrived < WARM_UP_SECONDS:
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
        if self._policy.only_idle and used > slots * MAX_HEDGE_UTILIZATION:
            return False
        return may_hedge(request.made, request.entry.budget)

    def _expire(self, request: Request) -> None:
        if request.done:
            return
        request.certainly_not_run = False
        for attempt in list(request.active):
            self._cancel(attempt)
        self._refuse(request)

    def _lose(self, worker: Worker) -> None:
        worker.lost_at = self.now
        self._after(DROP_SECONDS, lambda: self._drop(worker))

    def _drop(self, worker: Worker) -> None:
        """Fail what was sent to a worker that is gone."""
        pending = [
            attempt for attempt in self._active if attempt.worker is worker
        ]
        for attempt in pending:
            record_failure(attempt.candidate.health, self.now)
            self._end(attempt)
            attempt.request.certainly_not_run = False
            self._settle(attempt.request)

    def _review(self, end: float) -> None:
        for worker in self._workers:
            if worker.lost_at is None and worker.table.queue:
                decisions = apply(DeadlinesChecked(), worker.table, self.now)
                self._carry_out(worker, decisions)
        if self.now < end + DEADLINE_SECONDS:
            self._after(REVIEW_SECONDS, lambda: self._review(end))

"""Callers that send requests in loops and record the outcome of each."""

import enum
from random import Random
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from benchmarks.soak.bodies import create_producer
from wasabiturn.connection.endpoint import Endpoint

RESPONSE_TIMEOUT_SECONDS = 8.0
# Timeout that is asked for in the header of each request.
REQUEST_TIMEOUT_MS = 4000
MAX_SENDS = 6
RESEND_PAUSE_SECONDS = 0.4
HTTP_OK = 200


@final
class RequestKind(enum.Enum):
    """Whether a request is idempotent by method, by key, or not at all."""

    idempotent = 'idempotent'
    unkeyed = 'unkeyed'
    keyed = 'keyed'


@final
class CallOutcome(enum.Enum):
    """Outcome of one send of a request, as its caller saw it."""

    answered = 'answered'
    wrong_answer = 'wrong-answer'
    not_run = 'not-run'
    unknown = 'unknown'
    broken = 'broken'
    refused = 'refused'


@final
@attrs.define
class CallRecord:
    """One request; the lists have an item for each send."""

    request_id: str
    kind: RequestKind
    outcomes: list[CallOutcome] = attrs.field(factory=list)
    seconds: list[float] = attrs.field(factory=list)
    texts: list[str] = attrs.field(factory=list)


@final
@attrs.frozen
class HttpResponse:
    """One HTTP response with its whole body."""

    status: int
    outcome: str
    text: str


@final
@attrs.define(eq=False)
class Callers:
    """Send requests to random entries until stopped."""

    reactor: Any
    entries: list[Endpoint]
    service: str
    random: Random
    records_by_id: dict[str, CallRecord] = attrs.field(factory=dict)
    stopped: bool = False
    _sent_count: int = 0
    _agent: Any = None

    def start(self, loops: int, pause_seconds: float) -> list[Deferred[Any]]:
        """Start ``loops`` concurrent request loops."""
        pool = HTTPConnectionPool(self.reactor, persistent=True)
        pool.retryAutomatically = False
        self._agent = Agent(self.reactor, connectTimeout=2, pool=pool)
        return [self._loop(pause_seconds) for _ in range(loops)]

    def stop(self) -> None:
        """Stop each loop after its current request."""
        self.stopped = True

    @inlineCallbacks
    def _loop(self, pause_seconds: float) -> Any:
        while not self.stopped:
            kind = self.random.choice(list(RequestKind))
            self._sent_count += 1
            record = CallRecord(
                request_id=f'call-{self._sent_count}', kind=kind
            )
            self.records_by_id[record.request_id] = record
            yield self._send_until_settled(record)
            wait = self.random.uniform(0, pause_seconds * 2)
            yield deferLater(self.reactor, wait, _do_nothing)

    @inlineCallbacks
    def _send_until_settled(self, record: CallRecord) -> Any:
        for _ in range(MAX_SENDS):
            started = self.reactor.seconds()
            entry = self.random.choice(self.entries)
            call_outcome = yield self._send(record, entry)
            record.outcomes.append(call_outcome)
            record.seconds.append(self.reactor.seconds() - started)
            if not _should_resend(record, call_outcome) or self.stopped:
                return
            yield deferLater(self.reactor, RESEND_PAUSE_SECONDS, _do_nothing)

    @inlineCallbacks
    def _send(self, record: CallRecord, entry: Endpoint) -> Any:
        method = b'GET' if record.kind is RequestKind.idempotent else b'POST'
        url = f'http://{entry}/{self.service}/quotes/{record.request_id}'
        try:
            http_response = yield self._exchange(method, url, record)
        except Exception as error:
            record.texts.append(repr(error))
            return CallOutcome.broken
        return _classify(record, http_response)

    @inlineCallbacks
    def _exchange(self, method: bytes, url: str, record: CallRecord) -> Any:
        request = self._agent.request(
            method,
            url.encode(),
            _create_headers(record),
            create_producer(record.request_id, method),
        )
        request.addTimeout(RESPONSE_TIMEOUT_SECONDS, self.reactor)
        response = yield request
        body = readBody(response)
        body.addTimeout(RESPONSE_TIMEOUT_SECONDS, self.reactor)
        content = yield body
        outcome = response.headers.getRawHeaders('Wasabiturn-Outcome', [''])
        return HttpResponse(
            status=response.code,
            outcome=outcome[0],
            text=content.decode(errors='replace'),
        )


def _create_headers(record: CallRecord) -> Headers:
    headers = Headers(
        {
            'X-Request-Id': [record.request_id],
            'Wasabiturn-Timeout-Ms': [str(REQUEST_TIMEOUT_MS)],
        },
    )
    if record.kind is RequestKind.keyed:
        headers.addRawHeader('Idempotency-Key', record.request_id)
    return headers


def _should_resend(record: CallRecord, call_outcome: CallOutcome) -> bool:
    if call_outcome is CallOutcome.answered:
        return False
    return (
        record.kind is not RequestKind.unkeyed
        or call_outcome is CallOutcome.not_run
    )


def _classify(record: CallRecord, http_response: HttpResponse) -> CallOutcome:
    record.texts.append(f'{http_response.status} {http_response.text}')
    if http_response.status == HTTP_OK:
        is_own = record.request_id in http_response.text
        return CallOutcome.answered if is_own else CallOutcome.wrong_answer
    if http_response.outcome == 'not-run':
        return CallOutcome.not_run
    if http_response.outcome == 'unknown':
        return CallOutcome.unknown
    return CallOutcome.refused


def _do_nothing() -> None:
    """Do nothing when a pause ends."""

"""Callers: bounded request loops that record what each request came to."""

import enum
from random import Random
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from benchmarks.soak.bodies import create_producer
from wasabiturn.connection.dialer import Endpoint

ANSWER_LIMIT_SECONDS = 8.0
TIMEOUT_MS = 4000
RESEND_LIMIT = 6
RESEND_PAUSE_SECONDS = 0.4
HTTP_OK = 200


@final
class RequestKind(enum.Enum):
    """What a caller says of its request."""

    idempotent = 'idempotent'
    unkeyed = 'unkeyed'
    keyed = 'keyed'


@final
class Ending(enum.Enum):
    """What a caller was told in the end."""

    answered = 'answered'
    wrong_answer = 'wrong-answer'
    not_run = 'not-run'
    unknown = 'unknown'
    broken = 'broken'
    refused = 'refused'


@final
@attrs.define
class CallRecord:
    """One request, with all its resends."""

    request_id: str
    kind: RequestKind
    endings: list[Ending] = attrs.field(factory=list)
    seconds: list[float] = attrs.field(factory=list)
    texts: list[str] = attrs.field(factory=list)


@final
@attrs.frozen
class Answer:
    """One HTTP answer, read to its end."""

    status: int
    outcome: str
    text: str


@final
@attrs.define(eq=False)
class Callers:
    """Sends requests to the entries in turn until stopped."""

    reactor: Any
    entries: list[Endpoint]
    service: str
    random: Random
    records_by_id: dict[str, CallRecord] = attrs.field(factory=dict)
    stopped: bool = False
    _sent: int = 0
    _agent: Any = None

    def start(self, loops: int, pause_seconds: float) -> list[Deferred[Any]]:
        """Run ``loops`` request loops side by side."""
        pool = HTTPConnectionPool(self.reactor, persistent=True)
        pool.retryAutomatically = False
        self._agent = Agent(self.reactor, connectTimeout=2, pool=pool)
        return [self._loop(pause_seconds) for _ in range(loops)]

    def stop(self) -> None:
        """Let each loop end after its request."""
        self.stopped = True

    @inlineCallbacks
    def _loop(self, pause_seconds: float) -> Any:
        while not self.stopped:
            kind = self.random.choice(list(RequestKind))
            self._sent += 1
            record = CallRecord(request_id=f'call-{self._sent}', kind=kind)
            self.records_by_id[record.request_id] = record
            yield self._send_until_settled(record)
            wait = self.random.uniform(0, pause_seconds * 2)
            yield deferLater(self.reactor, wait, _nothing)

    @inlineCallbacks
    def _send_until_settled(self, record: CallRecord) -> Any:
        for _ in range(RESEND_LIMIT):
            started = self.reactor.seconds()
            entry = self.random.choice(self.entries)
            ending = yield self._send(record, entry)
            record.endings.append(ending)
            record.seconds.append(self.reactor.seconds() - started)
            if not _is_worth_resending(record, ending) or self.stopped:
                return
            yield deferLater(self.reactor, RESEND_PAUSE_SECONDS, _nothing)

    @inlineCallbacks
    def _send(self, record: CallRecord, entry: Endpoint) -> Any:
        method = b'GET' if record.kind is RequestKind.idempotent else b'POST'
        url = f'http://{entry}/{self.service}/quotes/{record.request_id}'
        try:
            answer = yield self._exchange(method, url, record)
        except Exception as error:
            record.texts.append(repr(error))
            return Ending.broken
        return _classify(record, answer)

    @inlineCallbacks
    def _exchange(self, method: bytes, url: str, record: CallRecord) -> Any:
        request = self._agent.request(
            method,
            url.encode(),
            _create_headers(record),
            create_producer(record.request_id, method),
        )
        request.addTimeout(ANSWER_LIMIT_SECONDS, self.reactor)
        response = yield request
        body = readBody(response)
        body.addTimeout(ANSWER_LIMIT_SECONDS, self.reactor)
        content = yield body
        outcome = response.headers.getRawHeaders('Wasabiturn-Outcome', [''])
        return Answer(
            status=response.code,
            outcome=outcome[0],
            text=content.decode(errors='replace'),
        )


def _create_headers(record: CallRecord) -> Headers:
    headers = Headers(
        {
            'X-Request-Id': [record.request_id],
            'Wasabiturn-Timeout-Ms': [str(TIMEOUT_MS)],
        },
    )
    if record.kind is RequestKind.keyed:
        headers.addRawHeader('Idempotency-Key', record.request_id)
    return headers


def _is_worth_resending(record: CallRecord, ending: Ending) -> bool:
    if ending is Ending.answered:
        return False
    return record.kind is not RequestKind.unkeyed or ending is Ending.not_run


def _classify(record: CallRecord, answer: Answer) -> Ending:
    record.texts.append(f'{answer.status} {answer.text}')
    if answer.status == HTTP_OK:
        is_own = record.request_id in answer.text
        return Ending.answered if is_own else Ending.wrong_answer
    if answer.outcome == 'not-run':
        return Ending.not_run
    if answer.outcome == 'unknown':
        return Ending.unknown
    return Ending.refused


def _nothing() -> None:
    """Do nothing after a pause."""

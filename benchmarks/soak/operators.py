"""Operators that change jobs, configurations and data centres by the API."""

import json
from random import Random
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater
from twisted.web.client import Agent, readBody
from twisted.web.http_headers import Headers

from benchmarks.soak.bodies import BytesProducer
from wasabiturn.connection.endpoint import Endpoint

RESPONSE_TIMEOUT_SECONDS = 6.0
RESEND_PAUSE_SECONDS = 0.3
MAX_SENDS = 60
MIN_ERROR_STATUS = 400
UNAVAILABLE_STATUS = 503
# How long a data centre stays taken out.
OUTAGE_SECONDS = 12.0


@final
@attrs.define
class WriteRecord:
    """One write with its resends; ``status`` is that of the last response."""

    request_id: str
    path: str
    status: int = 0
    answered_at: float = 0
    revision: int = 0
    resends: int = 0
    text: str = ''


@final
@attrs.define(eq=False)
class Operators:
    """Write resources through random servers of the API, and record that.

    A write is settled by a response with any status but 503; until then it is
    resent with the same request id.
    """

    reactor: Any
    servers: list[Endpoint]
    random: Random
    writes: list[WriteRecord] = attrs.field(factory=list)
    outages: list[WriteRecord] = attrs.field(factory=list)
    stopped: bool = False
    _agent: Any = None
    _job_count: int = 0

    def start(self) -> None:
        """Create the HTTP client."""
        self._agent = Agent(self.reactor, connectTimeout=2)

    def stop(self) -> None:
        """Stop each loop after its current write."""
        self.stopped = True

    @inlineCallbacks
    def apply_jobs(self, pause_seconds: float) -> Any:
        """Apply a new job, and repeat after each pause."""
        while not self.stopped:
            self._job_count += 1
            yield self.put(
                f'/v1/jobs/convert-{self._job_count}',
                create_job(self.random),
            )
            yield deferLater(self.reactor, pause_seconds, _do_nothing)

    @inlineCallbacks
    def cancel_jobs(self, pause_seconds: float) -> Any:
        """Cancel the newest job after each pause."""
        while not self.stopped:
            yield deferLater(self.reactor, pause_seconds, _do_nothing)
            yield self.write(
                'DELETE', f'/v1/jobs/convert-{self._job_count}', None
            )

    @inlineCallbacks
    def change_configuration(self, pause_seconds: float) -> Any:
        """Change one configuration, and repeat after each pause."""
        number = 0
        while not self.stopped:
            number += 1
            spec = {'settings': {'round': str(number)}}
            yield self.put('/v1/configurations/soak', {'spec': spec})
            yield deferLater(self.reactor, pause_seconds, _do_nothing)

    @inlineCallbacks
    def take_out_and_bring_back(self, names: list[str], pause: float) -> Any:
        """Take a data centre out and bring it back after each pause."""
        while not self.stopped:
            yield deferLater(self.reactor, pause, _do_nothing)
            path = f'/v1/data-centres/{self.random.choice(names)}'
            taken_out = yield self.put(path, {'spec': {'out': True}})
            self.outages.append(taken_out)
            yield deferLater(self.reactor, OUTAGE_SECONDS, _do_nothing)
            brought_back = yield self.put(path, {'spec': {'out': False}})
            self.outages.append(brought_back)

    def put(self, path: str, resource: dict[str, Any]) -> Deferred[Any]:
        """Write a resource; resend with the same id until it is settled."""
        return self.write('PUT', path, resource)

    @inlineCallbacks
    def write(
        self,
        method: str,
        path: str,
        resource: dict[str, Any] | None,
    ) -> Any:
        """Send a write until it is settled; return its record.

        Give up after ``MAX_SENDS`` sends, and return the record as it is.
        """
        request_id = f'write-{len(self.writes)}'
        record = WriteRecord(request_id=request_id, path=path)
        self.writes.append(record)
        for _ in range(MAX_SENDS):
            yield self._send_once(record, method, resource)
            if record.status and record.status != UNAVAILABLE_STATUS:
                return record
            record.resends += 1
            yield deferLater(self.reactor, RESEND_PAUSE_SECONDS, _do_nothing)
        return record

    @inlineCallbacks
    def get_all(self, path: str) -> Any:
        """Return the items of all pages; ``None`` if no server answers."""
        items: list[Any] = []
        cursor = ''
        while True:
            query = f'?after={cursor}' if cursor else ''
            page = yield self.get(f'{path}{query}')
            if page is None:
                return None
            items += page['items']
            cursor = page.get('next', '')
            if not cursor:
                return items

    @inlineCallbacks
    def get(self, path: str) -> Any:
        """Return the resource at ``path``, or ``None`` if no server answers."""
        for _ in range(MAX_SENDS):
            server = self.random.choice(self.servers)
            try:
                http_response = yield self._exchange(
                    b'GET', server, path, None, ''
                )
            except Exception:
                http_response = None
            if (
                http_response is not None
                and http_response.status < MIN_ERROR_STATUS
            ):
                return json.loads(http_response.text)
            yield deferLater(self.reactor, RESEND_PAUSE_SECONDS, _do_nothing)
        return None

    @inlineCallbacks
    def _send_once(
        self,
        record: WriteRecord,
        method: str,
        resource: dict[str, Any] | None,
    ) -> Any:
        server = self.random.choice(self.servers)
        body = json.dumps(resource).encode() if resource else None
        try:
            http_response = yield self._exchange(
                method.encode(),
                server,
                record.path,
                body,
                record.request_id,
            )
        except Exception as error:
            record.text = repr(error)
            return
        record.status = http_response.status
        record.text = http_response.text
        record.answered_at = self.reactor.seconds()
        if http_response.status < MIN_ERROR_STATUS:
            record.revision = json.loads(http_response.text).get('revision', 0)

    @inlineCallbacks
    def _exchange(
        self,
        method: bytes,
        server: Endpoint,
        path: str,
        body: bytes | None,
        request_id: str,
    ) -> Any:
        request: Deferred[Any] = self._agent.request(
            method,
            f'http://{server}{path}'.encode(),
            Headers({'Request-Id': [request_id]} if request_id else {}),
            None if body is None else BytesProducer(body),
        )
        request.addTimeout(RESPONSE_TIMEOUT_SECONDS, self.reactor)
        response = yield request
        reading = readBody(response)
        reading.addTimeout(RESPONSE_TIMEOUT_SECONDS, self.reactor)
        content = yield reading
        return _HttpResponse(status=response.code, text=content.decode())


@final
@attrs.frozen
class _HttpResponse:
    status: int
    text: str


def create_job(random: Random) -> dict[str, Any]:
    """Return a random job of one to three short tasks."""
    return {
        'spec': {
            'tasks': random.randint(1, 3),
            'size': {
                'cores': random.choice((1, 4, 8)),
                'memory_mb': 256,
                'accelerators': 0,
            },
            'run_seconds': random.uniform(1, 12),
            'urgent': random.choice((True, False, False)),
            'idempotent': random.choice((True, True, False)),
            'max_failures': 5,
            'task_kind': random.choice(['plotter', 'render']),
        },
    }


def _do_nothing() -> None:
    """Do nothing when a pause ends."""

"""Operators: jobs, configurations and data centres out and in, recorded."""

import json
from random import Random
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater
from twisted.web.client import Agent, readBody
from twisted.web.http_headers import Headers

from benchmarks.soak.bodies import BytesProducer
from wasabiturn.connection.dialer import Endpoint

ANSWER_LIMIT_SECONDS = 6.0
RESEND_PAUSE_SECONDS = 0.3
RESEND_LIMIT = 60
LEAST_ERROR_STATUS = 400
UNAVAILABLE_STATUS = 503
OUT_SECONDS = 12.0


@final
@attrs.define
class WriteRecord:
    """One write, with its resends; ``status`` is that of its settled answer."""

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
    """Writes resources through any server of the API until it is settled."""

    reactor: Any
    servers: list[Endpoint]
    random: Random
    writes: list[WriteRecord] = attrs.field(factory=list)
    outages: list[WriteRecord] = attrs.field(factory=list)
    stopped: bool = False
    _agent: Any = None
    _jobs: int = 0

    def start(self) -> None:
        """Prepare the HTTP client."""
        self._agent = Agent(self.reactor, connectTimeout=2)

    def stop(self) -> None:
        """Let each loop end after its write."""
        self.stopped = True

    @inlineCallbacks
    def apply_jobs(self, pause_seconds: float) -> Any:
        """Apply a job of a few tasks after each pause."""
        while not self.stopped:
            self._jobs += 1
            yield self.put(
                f'/v1/jobs/convert-{self._jobs}',
                create_job(self.random),
            )
            yield deferLater(self.reactor, pause_seconds, _nothing)

    @inlineCallbacks
    def cancel_jobs(self, pause_seconds: float) -> Any:
        """Cancel the newest job after each pause."""
        while not self.stopped:
            yield deferLater(self.reactor, pause_seconds, _nothing)
            yield self.write('DELETE', f'/v1/jobs/convert-{self._jobs}', None)

    @inlineCallbacks
    def change_configuration(self, pause_seconds: float) -> Any:
        """Change one configuration after each pause."""
        number = 0
        while not self.stopped:
            number += 1
            spec = {'settings': {'round': str(number)}}
            yield self.put('/v1/configurations/soak', {'spec': spec})
            yield deferLater(self.reactor, pause_seconds, _nothing)

    @inlineCallbacks
    def take_out_and_bring_back(self, names: list[str], pause: float) -> Any:
        """Take a data centre out and bring it back after each pause."""
        while not self.stopped:
            yield deferLater(self.reactor, pause, _nothing)
            path = f'/v1/data-centres/{self.random.choice(names)}'
            taken_out = yield self.put(path, {'spec': {'out': True}})
            self.outages.append(taken_out)
            yield deferLater(self.reactor, OUT_SECONDS, _nothing)
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
        """Send one write until it is settled; return its record."""
        request_id = f'write-{len(self.writes)}'
        record = WriteRecord(request_id=request_id, path=path)
        self.writes.append(record)
        for _ in range(RESEND_LIMIT):
            yield self._attempt(record, method, resource)
            if record.status and record.status != UNAVAILABLE_STATUS:
                return record
            record.resends += 1
            yield deferLater(self.reactor, RESEND_PAUSE_SECONDS, _nothing)
        return record

    @inlineCallbacks
    def get_all(self, path: str) -> Any:
        """Read every page of a list; ``None`` when no server answers."""
        items: list[Any] = []
        following = ''
        while True:
            query = f'?after={following}' if following else ''
            page = yield self.get(f'{path}{query}')
            if page is None:
                return None
            items += page['items']
            following = page.get('next', '')
            if not following:
                return items

    @inlineCallbacks
    def get(self, path: str) -> Any:
        """Read ``path`` from any server; ``None`` when none answers."""
        for _ in range(RESEND_LIMIT):
            server = self.random.choice(self.servers)
            try:
                answer = yield self._exchange(b'GET', server, path, None, '')
            except Exception:
                answer = None
            if answer is not None and answer.status < LEAST_ERROR_STATUS:
                return json.loads(answer.text)
            yield deferLater(self.reactor, RESEND_PAUSE_SECONDS, _nothing)
        return None

    @inlineCallbacks
    def _attempt(
        self,
        record: WriteRecord,
        method: str,
        resource: dict[str, Any] | None,
    ) -> Any:
        server = self.random.choice(self.servers)
        body = json.dumps(resource).encode() if resource else None
        try:
            answer = yield self._exchange(
                method.encode(),
                server,
                record.path,
                body,
                record.request_id,
            )
        except Exception as error:
            record.text = repr(error)
            return
        record.status = answer.status
        record.text = answer.text
        record.answered_at = self.reactor.seconds()
        if answer.status < LEAST_ERROR_STATUS:
            record.revision = json.loads(answer.text).get('revision', 0)

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
        request.addTimeout(ANSWER_LIMIT_SECONDS, self.reactor)
        response = yield request
        reading = readBody(response)
        reading.addTimeout(ANSWER_LIMIT_SECONDS, self.reactor)
        content = yield reading
        return _Answer(status=response.code, text=content.decode())


@final
@attrs.frozen
class _Answer:
    status: int
    text: str


def create_job(random: Random) -> dict[str, Any]:
    """Create a job of one to three short conversions."""
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


def _nothing() -> None:
    """Do nothing after a pause."""

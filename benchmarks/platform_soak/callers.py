"""Callers of a soak: submit jobs and ask for them until they are final."""

import json
from random import Random
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from benchmarks.platform_soak.calls import (
    NO_ANSWER,
    Answer,
    CallPool,
    send_call,
)
from benchmarks.platform_soak.fleet import Fleet
from benchmarks.platform_soak.journal import CallEvent, Journal
from benchmarks.platform_soak.settings import HOST, PREFIX, Site
from wasabiturn.connection.http_messages import HttpRequest

CALL_TIMEOUT_SECONDS = 3.0
SUBMIT_SECONDS = 12.0
RETRY_SECONDS = 0.3
POLL_SECONDS = (0.3, 1.0)
SHORT_MS = 1600
LONG_MS = 4400
SHORT_SHARE = 0.7
CHAIN_SHARE = 0.2
MILLICORES = 300
MEMORY_MB = 60
FINAL_STATES = frozenset(('done', 'failed', 'cancelled'))
# Statuses after which a request certainly has not run and never will.
REJECTIONS = frozenset((404, 429, 503))
GONE = 410
MULTIPLE_CHOICES = 300
OK = 200
HEXADECIMAL = 16
_ID_BITS = 64
_MS_PER_SECOND = 1000


@final
@attrs.define(eq=False)
class Job:
    """Job of a caller; ``counts`` are the tasks of its steps.

    A step starts once the one before is done.
    """

    job_id: str
    counts: list[int]
    work_ms: int
    accepted_at: float | None = None
    # Whether all calls so far were rejected.
    is_rejected: bool = True
    state: str = ''
    final_at: float | None = None
    gone_at: float | None = None

    def tasks(self) -> list[str]:
        """Return the names of all tasks."""
        return [task for step in self.tasks_by_step() for task in step]

    def tasks_by_step(self) -> list[list[str]]:
        """Return the names of the tasks of each step."""
        return [
            [f'{self.job_id}.0.{step}.{index}' for index in range(count)]
            for step, count in enumerate(self.counts)
        ]

    def declaration(self) -> dict[str, Any]:
        """Return the body that submits the job."""
        steps = [
            {
                'count': count,
                'cpu': MILLICORES,
                'mem_mb': MEMORY_MB,
                'est_ms': self.work_ms,
                'after': list(range(step)),
            }
            for step, count in enumerate(self.counts)
        ]
        return {'spec': json.dumps({'ms': self.work_ms}), 'steps': steps}


@final
@attrs.define(eq=False)
class Callers:
    """All callers; each job has one of its own."""

    reactor: Any
    fleet: Fleet
    journal: Journal
    random: Random
    pause_seconds: tuple[float, float]
    pool: CallPool
    jobs: list[Job] = attrs.field(factory=list)
    is_submitting: bool = True
    is_stopped: bool = False

    @inlineCallbacks
    def run(self) -> Any:
        """Submit jobs until ``is_submitting`` ends."""
        while self.is_submitting:
            job = self._draw_job()
            self.jobs.append(job)
            self._follow(job).addErrback(self._stop_for_error)
            yield self._pause(*self.pause_seconds)

    def open_jobs(self) -> list[Job]:
        """Return the accepted jobs that were not shown as final."""
        return [
            job
            for job in self.jobs
            if job.accepted_at is not None and job.final_at is None
        ]

    def _draw_job(self) -> Job:
        is_short = self.random.random() < SHORT_SHARE
        steps = 2 if self.random.random() < CHAIN_SHARE else 1
        return Job(
            job_id=f'{self.random.getrandbits(_ID_BITS):016x}',
            counts=[self.random.choice((2, 4, 6)) for _ in range(steps)],
            work_ms=SHORT_MS if is_short else LONG_MS,
        )

    @inlineCallbacks
    def _follow(self, job: Job) -> Any:
        yield self._submit(job)
        while not self.is_stopped and job.accepted_at and not job.final_at:
            yield self._pause(*POLL_SECONDS)
            answer = yield self._call(job, 'GET')
            if answer.status == OK:
                job.state = answer.field('state')
                if job.state in FINAL_STATES:
                    job.final_at = self.journal.now()
            elif answer.status == GONE and job.gone_at is None:
                job.gone_at = self.journal.now()

    @inlineCallbacks
    def _submit(self, job: Job) -> Any:
        until = self.journal.now() + SUBMIT_SECONDS
        while not job.accepted_at and self.journal.now() < until:
            answer = yield self._call(job, 'POST', job.declaration())
            if OK <= answer.status < MULTIPLE_CHOICES:
                job.accepted_at = self.journal.now()
                job.is_rejected = False
                return
            if answer.status not in REJECTIONS:
                job.is_rejected = False
            yield self._pause(RETRY_SECONDS, RETRY_SECONDS)

    @inlineCallbacks
    def _call(self, job: Job, method: str, body: Any = None) -> Any:
        entry: Site = self.random.choice(self.fleet.entries())
        deadline_ms = int(CALL_TIMEOUT_SECONDS * _MS_PER_SECOND)
        request = HttpRequest(
            method,
            f'{PREFIX}{job.job_id}',
            {
                'Content-Type': 'application/json',
                'Wasabiturn-Deadline-Ms': str(deadline_ms),
            },
            json.dumps(body).encode() if body else b'',
        )
        sent_at = self.journal.now()
        answer: Answer = yield self._send(job, entry, request)
        state = answer.field('state') if answer.status == OK else ''
        self.journal.add_call(
            CallEvent(
                sent_at=sent_at,
                ended_at=self.journal.now(),
                entry=entry.name,
                method=method,
                job=job.job_id,
                status=answer.status or NO_ANSWER,
                state=state,
            )
        )
        return answer

    def _send(
        self, job: Job, entry: Site, request: HttpRequest
    ) -> Deferred[Answer]:
        """Send a call; half of the callers keep their connections."""
        endpoint = self.fleet.callers_endpoint(entry)
        if int(job.job_id, HEXADECIMAL) % 2:
            return self.pool.send(endpoint, request, HOST, CALL_TIMEOUT_SECONDS)
        return send_call(
            self.reactor, endpoint, request, HOST, CALL_TIMEOUT_SECONDS
        )

    def _pause(self, least: float, most: float) -> Deferred[None]:
        seconds = self.random.uniform(least, most)
        return deferLater(self.reactor, seconds, _do_nothing)

    def _stop_for_error(self, failure: Any) -> None:
        failure.printTraceback()
        self.reactor.stop()


def _do_nothing() -> None:
    """Do nothing when a pause ends."""

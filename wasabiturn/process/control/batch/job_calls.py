"""Handling of job calls by the leader: submit, cancel, read and count."""

from collections.abc import Callable, Iterator
from typing import final

import attrs
from twisted.internet.defer import Deferred, succeed

from wasabiturn.batch import BatchState
from wasabiturn.batch.queueing.queue_table import QueueTable
from wasabiturn.batch.state.jobs import Job, count_tasks
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import (
    AcceptJob,
    BatchChange,
    JobAnswer,
    JobCall,
    JobDeclaration,
    Queue,
)
from wasabiturn.messages.kinds import JobAction, JobOutcome, Method
from wasabiturn.process.control.batch.job_admission import JobAdmission
from wasabiturn.process.control.batch.pending_counts import PendingCounts
from wasabiturn.process.control.batch.pipeline import Pipeline
from wasabiturn.process.control.batch.starts import wall_clock_ms
from wasabiturn.utils.logs import create_component_log

_OUTCOMES_TO_CONFIRM = frozenset((JobOutcome.no_queue, JobOutcome.no_job))

_log = create_component_log('queues')


@final
@attrs.define
class JobCallHandler:
    """Handles calls on jobs.

    ``committed_state`` returns the jobs and queues as committed, while
    ``pipeline.batch_state`` also has the changes that are not committed yet.
    """

    pipeline: Pipeline
    queue_table: QueueTable
    admission: JobAdmission
    counts: PendingCounts
    committed_state: Callable[[], BatchState]

    def answer(self, call: JobCall, wall_ms: int) -> Deferred[JobAnswer]:
        """Answer one call; fails with ``CallError``.

        That something isn't there is only said once a quorum has confirmed
        it: on an instance that was suspended the lease may outlast its time.
        A count waits for a routing that is not committed yet. An earlier one
        may wait for its commit, too, and be answered by the new routing; what
        was asked later must not be answered by the old one.
        """
        if call.action is JobAction.count and self._is_routing_pending():
            committed = self.pipeline.confirm()
            return committed.addCallback(
                lambda _: self._answer_confirmed(call, wall_ms)
            )
        return self._answer_confirmed(call, wall_ms)

    def _answer_confirmed(
        self, call: JobCall, wall_ms: int
    ) -> Deferred[JobAnswer]:
        answered = self._answer(call, wall_ms)
        return answered.addCallback(self._confirm, call, wall_ms)

    def _is_routing_pending(self) -> bool:
        committed = self.committed_state().routing
        newest = self.pipeline.batch_state.routing
        return newest is not None and (
            committed is None or committed.version < newest.version
        )

    def _confirm(
        self, answer: JobAnswer, call: JobCall, wall_ms: int
    ) -> JobAnswer | Deferred[JobAnswer]:
        if answer.outcome not in _OUTCOMES_TO_CONFIRM:
            return answer
        confirmed = self.pipeline.confirm()
        return confirmed.addCallback(lambda _: self._answer(call, wall_ms))

    def _answer(self, call: JobCall, wall_ms: int) -> Deferred[JobAnswer]:
        routing = self.committed_state().routing
        if routing is None:
            return succeed(JobAnswer(outcome=JobOutcome.not_configured))
        queue = self.queue_table.find_queue(routing, call.host, call.path)
        if queue is None:
            return succeed(JobAnswer(outcome=JobOutcome.no_queue))
        job_id = call.path.removeprefix(queue.prefix)
        if call.action is JobAction.submit:
            return self._submit(call, queue, job_id, wall_ms)
        if call.action is JobAction.cancel:
            return self._cancel(call, queue, job_id)
        if call.action is JobAction.read and job_id:
            return succeed(self._read(queue, job_id))
        return succeed(self._count(queue))

    def _submit(
        self,
        call: JobCall,
        queue: Queue,
        job_id: str,
        wall_ms: int,
    ) -> Deferred[JobAnswer]:
        declaration = call.declaration
        if declaration is None or not job_id:
            return succeed(JobAnswer(outcome=JobOutcome.invalid))
        accepted_answer = JobAnswer(outcome=JobOutcome.ok)
        if job_id in self.committed_state().jobs_by_id:
            return succeed(accepted_answer)
        accepted = AcceptJob(
            declaration=attrs.evolve(
                declaration,
                job_id=job_id,
                queue=queue_key(queue),
            ),
            terms=queue.terms,
            accepted_ms=wall_ms,
        )
        refusal = self.admission.refuse(accepted, self.pipeline)
        if refusal is not None:
            return succeed(
                JobAnswer(
                    outcome=JobOutcome.busy, retry_after_ms=refusal.retry_ms
                )
            )
        _log_accept(call, accepted.declaration)
        recorded = self.pipeline.record(BatchChange(accepts=[accepted]))
        return recorded.addCallback(lambda _: accepted_answer)

    def _cancel(
        self,
        call: JobCall,
        queue: Queue,
        job_id: str,
    ) -> Deferred[JobAnswer]:
        job = self._find_job(self.pipeline.batch_state, queue, job_id)
        if job is None:
            return succeed(JobAnswer(outcome=JobOutcome.no_job))
        _log.decision('cancels job', job=job_id, request=call.request_id)
        recorded = self.pipeline.record(BatchChange(cancels=[job_id]))
        return recorded.addCallback(
            lambda _: JobAnswer(outcome=JobOutcome.ok),
        )

    def _read(self, queue: Queue, job_id: str) -> JobAnswer:
        job = self._find_job(self.committed_state(), queue, job_id)
        if job is None:
            return JobAnswer(outcome=JobOutcome.no_job)
        return JobAnswer(outcome=JobOutcome.ok, state=job.state)

    def _count(self, queue: Queue) -> JobAnswer:
        pending = self.counts.find(
            queue_key(queue), self.pipeline.read_clock(), self._list_pending
        )
        return JobAnswer(outcome=JobOutcome.ok, pending=pending)

    def _list_pending(self) -> Iterator[str]:
        """Yield the queue of each committed job that has not begun."""
        # Only the leader's copy knows which ordered runs have begun.
        ahead = self.pipeline.batch_state.jobs_by_id
        for job in self.committed_state().open_jobs_by_id.values():
            if not job.has_begun and not ahead.get(job.job_id, job).has_begun:
                yield job.queue

    def _find_job(
        self, batch_state: BatchState, queue: Queue, job_id: str
    ) -> Job | None:
        job = batch_state.jobs_by_id.get(job_id)
        if job is None:
            return None
        return job if job.queue == queue_key(queue) else None


def register_job_calls(
    dispatch: Dispatch,
    require_pipeline: Callable[[], Pipeline],
    queue_table: QueueTable,
    admission: JobAdmission,
    committed_state: Callable[[], BatchState],
) -> None:
    """Register the handler of calls on jobs.

    ``require_pipeline`` returns the pipeline of the present term, or raises
    ``CallError`` on a member that does not lead.
    """
    counts = PendingCounts()

    def handle(link: Link, call: JobCall) -> Deferred[JobAnswer]:
        handler = JobCallHandler(
            pipeline=require_pipeline(),
            queue_table=queue_table,
            admission=admission,
            counts=counts,
            committed_state=committed_state,
        )
        return handler.answer(call, wall_clock_ms())

    # A caller may have sent the opposite elsewhere since.
    dispatch.handle(Method.job, JobCall, handle, drops_expired=True)


def queue_key(queue: Queue) -> str:
    """Return the key of a queue, the same in every routing version."""
    return f'{queue.host}{queue.prefix}'


def _log_accept(call: JobCall, declaration: JobDeclaration) -> None:
    _log.decision(
        'accepts job',
        job=declaration.job_id,
        request=call.request_id,
        queue=declaration.queue,
        steps=len(declaration.steps),
        tasks=count_tasks(declaration),
    )

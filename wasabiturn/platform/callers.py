"""HTTP requests of callers: submit, read and cancel jobs in queues."""

import re
from collections.abc import Callable
from types import MappingProxyType
from typing import final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.connection.http_messages import HttpRequest
from wasabiturn.messages.batch import JobAnswer, JobCall
from wasabiturn.messages.kinds import JobAction, JobOutcome, JobState, Method
from wasabiturn.platform import http_server as http
from wasabiturn.platform.job_limits import DEFAULT_JOB_LIMITS, JobLimits
from wasabiturn.platform.jobs import decode_job
from wasabiturn.process.entry.waiting_jobs import WaitingJobs
from wasabiturn.process.leader_calls import LeaderCalls

# A caller that waits longer than this retries at another entry.
MAX_CALL_SECONDS = 1.2
# Used instead while no leader has answered this entry for some seconds.
MAX_CALL_SECONDS_WITHOUT_LEADER = 0.3
# Part of a caller's deadline that is reserved for sending the response.
RESPONSE_RESERVE_SECONDS = 0.1
MIN_CALL_SECONDS = 0.05
_MS_PER_SECOND = 1000
_JOB_PATH = re.compile('.*/[0-9a-f]{16}')
_DEADLINE_HEADER = 'wasabiturn-deadline-ms'
_NAMES_BY_STATE = MappingProxyType(
    {
        JobState.queued: 'queued',
        JobState.running: 'running',
        JobState.done: 'done',
        JobState.failed: 'failed',
        JobState.cancelled: 'cancelled',
    }
)
_STATUS_BY_OUTCOME = MappingProxyType(
    {
        JobOutcome.no_queue: http.NOT_FOUND,
        JobOutcome.no_job: http.GONE,
        JobOutcome.busy: http.TOO_MANY_REQUESTS,
        JobOutcome.not_configured: http.UNAVAILABLE,
        JobOutcome.invalid: http.BAD_REQUEST,
    }
)
_ACTIONS_BY_METHOD = MappingProxyType(
    {
        'GET': JobAction.read,
        'POST': JobAction.submit,
        'DELETE': JobAction.cancel,
    }
)

# A deadline of more milliseconds is as good as none.
MAX_DEADLINE_DIGITS = 15


@final
@attrs.frozen
class CallerHandler:
    """Translates callers' requests into calls to the leader.

    ``has_leader_contact`` returns whether a leader answered recently.
    """

    calls: LeaderCalls
    has_leader_contact: Callable[[], bool]
    job_limits: JobLimits = DEFAULT_JOB_LIMITS
    waiting_jobs: WaitingJobs = attrs.field(factory=WaitingJobs)

    def handle(
        self, request: HttpRequest
    ) -> http.Response | Deferred[http.Response]:
        """Handle one request."""
        action = _ACTIONS_BY_METHOD.get(request.method)
        if action is None:
            return http.Response(status=http.BAD_REQUEST)
        path = request.path
        has_job_id = _JOB_PATH.fullmatch(path) is not None
        if not has_job_id and action is not JobAction.read:
            return http.Response(status=http.BAD_REQUEST)
        call = JobCall(
            action=action if has_job_id else JobAction.count,
            host=request.headers_by_name.get('host', '').partition(':')[0],
            path=path,
            request_id=path.rpartition('/')[2],
        )
        if action is JobAction.submit:
            call.declaration = decode_job(request.body, self.job_limits)
        timeout_seconds = self._choose_timeout_seconds(request)
        deferred = self.waiting_jobs.hold(
            call.declaration,
            lambda: self.calls.call(
                Method.job, call, JobAnswer, timeout_seconds
            ),
        )
        return deferred.addCallback(_create_response, call.action)

    def _choose_timeout_seconds(self, request: HttpRequest) -> float:
        max_seconds = MAX_CALL_SECONDS
        if not self.has_leader_contact():
            max_seconds = MAX_CALL_SECONDS_WITHOUT_LEADER
        deadline_ms = request.headers_by_name.get(_DEADLINE_HEADER, '')
        if not _is_amount(deadline_ms):
            return max_seconds
        seconds = int(deadline_ms) / _MS_PER_SECOND - RESPONSE_RESERVE_SECONDS
        return max(min(seconds, max_seconds), MIN_CALL_SECONDS)


def _create_response(answer: JobAnswer, action: JobAction) -> http.Response:
    status = _STATUS_BY_OUTCOME.get(answer.outcome, http.OK)
    if status in {http.UNAVAILABLE, http.TOO_MANY_REQUESTS}:
        seconds = -(-answer.retry_after_ms // _MS_PER_SECOND)
        retry_after = max(seconds, http.MIN_RETRY_AFTER_SECONDS)
        return http.Response(status=status, retry_after_seconds=retry_after)
    if status != http.OK:
        return http.Response(status=status)
    if action is JobAction.count:
        return http.Response(
            status=http.OK, body=http.encode({'pending': answer.pending})
        )
    if action is JobAction.read:
        name = _NAMES_BY_STATE[answer.state]
        return http.Response(status=http.OK, body=http.encode({'state': name}))
    return http.Response(status=http.OK)


def _is_amount(text: str) -> bool:
    """Return whether a header is a whole number that is not absurd."""
    is_number = text.isascii() and text.isdigit()
    return is_number and len(text) <= MAX_DEADLINE_DIGITS

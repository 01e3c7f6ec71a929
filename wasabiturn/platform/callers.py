"""HTTP of callers: jobs handed to queues, read and cancelled."""

import re
from collections.abc import Callable
from types import MappingProxyType
from typing import final

import attrs
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from wasabiturn.messages.batch import JobAnswer, JobCall
from wasabiturn.messages.kinds import JobAction, JobOutcome, JobState, Method
from wasabiturn.platform import http_server as http
from wasabiturn.platform.jobs import decode_job
from wasabiturn.process.leader_calls import LeaderCalls

# A caller that has waited longer asks again elsewhere.
MAX_CALL_SECONDS = 1.2
# The same while no leader has answered this entry for seconds.
OUT_OF_TOUCH_SECONDS = 0.3
# Kept of a caller's deadline for the way back.
ANSWER_SECONDS = 0.1
MIN_CALL_SECONDS = 0.05
_MS = 1000
_JOB_PATH = re.compile('.*/[0-9a-f]{16}')
_DEADLINE = 'wasabiturn-deadline-ms'
_WORDS_BY_STATE = MappingProxyType(
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


@final
@attrs.frozen
class CallerDesk:
    """Turns callers' requests into calls to the leader, and back.

    ``is_in_touch`` tells whether a leader answered this entry lately.
    """

    calls: LeaderCalls
    is_in_touch: Callable[[], bool]

    def handle(
        self,
        request: Request,
        body: bytes,
    ) -> http.Reply | Deferred[http.Reply]:
        """Handle one request."""
        action = _ACTIONS_BY_METHOD.get(http.method_of(request))
        if action is None:
            return http.Reply(status=http.BAD_REQUEST)
        path = http.path_of(request)
        names_job = _JOB_PATH.fullmatch(path) is not None
        if not names_job and action is not JobAction.read:
            return http.Reply(status=http.BAD_REQUEST)
        call = JobCall(
            action=action if names_job else JobAction.count,
            host=(request.getHeader('host') or '').partition(':')[0],
            path=path,
            request_id=path.rpartition('/')[2],
        )
        if action is JobAction.submit:
            call.declaration = decode_job(body)
        asked = self.calls.call(
            Method.job,
            call,
            JobAnswer,
            self._timeout_seconds(request),
        )
        return asked.addCallback(_to_reply, call.action)

    def _timeout_seconds(self, request: Request) -> float:
        limit = MAX_CALL_SECONDS
        if not self.is_in_touch():
            limit = OUT_OF_TOUCH_SECONDS
        written = request.getHeader(_DEADLINE) or ''
        if not written.isdigit():
            return limit
        seconds = int(written) / _MS - ANSWER_SECONDS
        return max(min(seconds, limit), MIN_CALL_SECONDS)


def _to_reply(answer: JobAnswer, action: JobAction) -> http.Reply:
    status = _STATUS_BY_OUTCOME.get(answer.outcome, http.OK)
    if status in {http.UNAVAILABLE, http.TOO_MANY_REQUESTS}:
        seconds = -(-answer.retry_after_ms // _MS)
        retry_after = max(seconds, http.RETRY_SOON_SECONDS)
        return http.Reply(status=status, retry_after_seconds=retry_after)
    if status != http.OK:
        return http.Reply(status=status)
    if action is JobAction.count:
        return http.Reply(
            status=http.OK, body=http.encode({'pending': answer.pending})
        )
    if action is JobAction.read:
        word = _WORDS_BY_STATE[answer.state]
        return http.Reply(status=http.OK, body=http.encode({'state': word}))
    return http.Reply(status=http.OK)

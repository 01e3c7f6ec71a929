"""HTTP of callers: jobs handed to queues, read and cancelled."""

import re
from typing import final

import attrs
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from wasabiturn.messages.batch import JobAnswer, JobCall
from wasabiturn.messages.kinds import JobAction, JobOutcome, JobState, Method
from wasabiturn.platform.decoding import decode_job
from wasabiturn.platform.http_server import (
    BAD_REQUEST,
    GONE,
    NOT_FOUND,
    OK,
    RETRY_SOON_SECONDS,
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
    Reply,
    encode,
    method_of,
    path_of,
)
from wasabiturn.process.leader_calls import LeaderCalls

# A caller that has waited longer asks again elsewhere.
MAX_CALL_SECONDS = 1.5
# Kept of a caller's deadline for the way back.
ANSWER_SECONDS = 0.1
MIN_CALL_SECONDS = 0.05
_MS = 1000
_JOB_PATH = re.compile('.*/[0-9a-f]{16}')
_DEADLINE = 'wasabiturn-deadline-ms'
_WORDS_BY_STATE = {
    JobState.queued: 'queued',
    JobState.running: 'running',
    JobState.done: 'done',
    JobState.failed: 'failed',
    JobState.cancelled: 'cancelled',
}
_STATUS_BY_OUTCOME = {
    JobOutcome.no_queue: NOT_FOUND,
    JobOutcome.no_job: GONE,
    JobOutcome.busy: TOO_MANY_REQUESTS,
    JobOutcome.not_configured: UNAVAILABLE,
    JobOutcome.invalid: BAD_REQUEST,
}
_ACTIONS_BY_METHOD = {
    'GET': JobAction.read,
    'POST': JobAction.submit,
    'DELETE': JobAction.cancel,
}


@final
@attrs.frozen
class CallerDesk:
    """Turns callers' requests into calls to the leader, and back."""

    calls: LeaderCalls

    def handle(
        self,
        request: Request,
        body: bytes,
    ) -> Reply | Deferred[Reply]:
        """Handle one request."""
        action = _ACTIONS_BY_METHOD.get(method_of(request))
        if action is None:
            return Reply(status=BAD_REQUEST)
        path = path_of(request)
        names_job = _JOB_PATH.fullmatch(path) is not None
        if not names_job and action is not JobAction.read:
            return Reply(status=BAD_REQUEST)
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
            _timeout_seconds(request),
        )
        return asked.addCallback(_to_reply, call.action)


def _timeout_seconds(request: Request) -> float:
    written = request.getHeader(_DEADLINE) or ''
    if not written.isdigit():
        return MAX_CALL_SECONDS
    seconds = int(written) / _MS - ANSWER_SECONDS
    return max(min(seconds, MAX_CALL_SECONDS), MIN_CALL_SECONDS)


def _to_reply(answer: JobAnswer, action: JobAction) -> Reply:
    status = _STATUS_BY_OUTCOME.get(answer.outcome, OK)
    if status in {UNAVAILABLE, TOO_MANY_REQUESTS}:
        seconds = -(-answer.retry_after_ms // _MS)
        retry_after = max(seconds, RETRY_SOON_SECONDS)
        return Reply(status=status, retry_after_seconds=retry_after)
    if status != OK:
        return Reply(status=status)
    if action is JobAction.count:
        return Reply(status=OK, body=encode({'pending': answer.pending}))
    if action is JobAction.read:
        word = _WORDS_BY_STATE[answer.state]
        return Reply(status=OK, body=encode({'state': word}))
    return Reply(status=OK)

"""Requests for fencing tokens, which the leader grants for a name alone.

A process of the agent that has just started knows no token, and its worker
refuses holds without one.
"""

import enum
from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from wasabiturn.messages.batch import TokenRequest, WorkerToken
from wasabiturn.messages.kinds import FailureCode, Method
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.utils.logs import create_component_log

REQUEST_TIMEOUT_SECONDS = 1.0

_log = create_component_log('runs')


@final
class TokenAnswer(enum.Enum):
    """What became of the request for a token."""

    granted = 'the leader has answered'
    unavailable = 'no leader has answered'
    unsupported = 'the leader is of a version that grants no tokens'


@final
@attrs.define
class TokenSource:
    """Asks the leader for tokens; ``follow`` is called with each."""

    calls: LeaderCalls
    follow: Callable[[int], None]

    def send(self, request: TokenRequest) -> Deferred[TokenAnswer]:
        """Send a request; follow the token that it may bring."""
        granted: Deferred[Any] = maybeDeferred(
            self.calls.call,
            Method.worker_token,
            request,
            WorkerToken,
            REQUEST_TIMEOUT_SECONDS,
        )
        return granted.addCallbacks(self._handle_token, _handle_failure)

    def _handle_token(self, granted: WorkerToken) -> TokenAnswer:
        self.follow(granted.fence)
        return TokenAnswer.granted


def _handle_failure(failure: Failure) -> TokenAnswer:
    error = failure.value
    _log.event('request for a token failed', error=str(error))
    if getattr(error, 'code', None) is FailureCode.unknown_method:
        return TokenAnswer.unsupported
    return TokenAnswer.unavailable

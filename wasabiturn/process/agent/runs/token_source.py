"""Requests for fencing tokens, which the leader grants for a name alone.

A process of the agent that has just started knows no token, and its worker
refuses holds without one. One that raises its token often uses up those that
the leader has left to it.
"""

import enum
from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from wasabiturn.messages.batch import TokenRequest, WorkerToken
from wasabiturn.messages.kinds import FailureCode, Method
from wasabiturn.process.agent.runs.fencing_token import FencingToken
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
    _is_refilling: bool = False

    def refill(self, token: FencingToken, worker: str) -> None:
        """Ask for a token if the agent cannot raise its own much longer."""
        if self._is_refilling or not token.is_nearly_used_up:
            return
        self._is_refilling = True
        request = TokenRequest(worker=worker, needs_token=True)
        self.send(request).addBoth(self._finish_refill)

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

    def _finish_refill(self, nothing: Any) -> None:
        self._is_refilling = False


def _handle_failure(failure: Failure) -> TokenAnswer:
    error = failure.value
    _log.event('request for a token failed', error=str(error))
    if getattr(error, 'code', None) is FailureCode.unknown_method:
        return TokenAnswer.unsupported
    return TokenAnswer.unavailable

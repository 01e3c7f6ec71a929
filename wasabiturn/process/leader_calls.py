"""Calls that follow the leader of the control group until a time-out."""

from collections.abc import Callable
from random import Random
from typing import Any, TypeVar, final

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.link import Link
from wasabiturn.messages.kinds import FailureCode, Method

ATTEMPT_SECONDS = 1.0
FIRST_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.4
_CERTAINLY_NOT_RUN = frozenset(
    (FailureCode.not_leader, FailureCode.unavailable),
)
_OPEN_OUTCOMES = frozenset(
    (FailureCode.closed, FailureCode.timeout, FailureCode.outcome_unknown),
)

MessageType = TypeVar('MessageType')


@final
@attrs.define
class LeaderCalls:
    """Sends calls to the leader, over whichever links are open.

    A call may be sent more than once: each method that is called this way is
    idempotent (commands carry a request id or are conditional, claims carry
    a claim id, heartbeats a sequence).
    """

    open_links: Callable[[], list[Link]]
    clock: Any
    random: Random
    leader: str = ''
    retry_seconds: float = FIRST_RETRY_SECONDS

    def call(
        self,
        method: Method,
        message: Any,
        reply_class: type[MessageType],
        timeout_seconds: float,
    ) -> Deferred[MessageType]:
        """Call the leader; retry until ``timeout_seconds`` have passed.

        Fails with ``CallError``: ``unavailable`` is certainly not run,
        ``outcome_unknown`` is open; other codes are the leader's refusals.
        """
        settled: Deferred[MessageType] = Deferred()
        _LeaderCall(
            calls=self,
            method=method,
            message=message,
            reply_class=reply_class,
            deadline=self.clock.seconds() + timeout_seconds,
            settled=settled,
        ).attempt()
        return settled

    def pick_link(self) -> Link | None:
        """Return the link to the leader, or any that may know it."""
        links = self.open_links()
        for link in links:
            if self.leader and link.peer.name == self.leader:
                return link
        return self.random.choice(links) if links else None

    def take_wait(self) -> float:
        """Return the wait before a retry, which grows until a call succeeds.

        All calls share it, so that a process whose calls overlap does not ask
        more often for want of a leader.
        """
        wait = self.retry_seconds * self.random.uniform(0.5, 1.0)
        self.retry_seconds = min(self.retry_seconds * 2, MAX_RETRY_SECONDS)
        return wait


@final
@attrs.define
class _LeaderCall:
    calls: LeaderCalls
    method: Method
    message: Any
    reply_class: type
    deadline: float
    settled: Deferred[Any]
    may_have_run: bool = False

    def attempt(self) -> None:
        remaining = self.deadline - self.calls.clock.seconds()
        if remaining <= 0:
            self._give_up()
            return
        link = self.calls.pick_link()
        if link is None:
            self._retry_later(remaining)
            return
        sent: Deferred[Any] = link.call(
            self.method,
            self.message,
            self.reply_class,
            timeout_seconds=min(remaining, ATTEMPT_SECONDS),
        )
        sent.addCallbacks(self._on_reply, self._on_failure)

    def _on_reply(self, reply: Any) -> None:
        self.calls.retry_seconds = FIRST_RETRY_SECONDS
        self.settled.callback(reply)

    def _on_failure(self, failure: TwistedFailure) -> None:
        error = failure.value
        code = getattr(error, 'code', FailureCode.internal)
        if code in _OPEN_OUTCOMES:
            self.may_have_run = True
        elif code not in _CERTAINLY_NOT_RUN:
            self.settled.errback(failure)
            return
        self.calls.leader = getattr(error, 'leader', '')
        self._retry_later(self.deadline - self.calls.clock.seconds())

    def _retry_later(self, remaining: float) -> None:
        wait = self.calls.take_wait()
        self.calls.clock.callLater(
            max(min(wait, remaining), 0),
            self.attempt,
        )

    def _give_up(self) -> None:
        if self.may_have_run:
            code = FailureCode.outcome_unknown
            text = 'no answer from the control leader; it may have run'
        else:
            code = FailureCode.unavailable
            text = 'no control leader can be reached'
        self.settled.errback(CallError(code, text))

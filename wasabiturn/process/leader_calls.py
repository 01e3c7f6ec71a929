"""Calls to the leader of the control group, retried until a timeout."""

from collections.abc import Callable
from random import Random
from typing import Any, TypeVar, final

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.link import Link
from wasabiturn.messages.kinds import FailureCode, Method

ATTEMPT_TIMEOUT_SECONDS = 1.0
FIRST_RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 0.4
_NOT_RUN_CODES = frozenset(
    (FailureCode.not_leader, FailureCode.unavailable),
)
_UNKNOWN_OUTCOME_CODES = frozenset(
    (FailureCode.closed, FailureCode.timeout, FailureCode.outcome_unknown),
)

MessageType = TypeVar('MessageType')


def _ignore_hint(leader: str) -> None:
    """Do nothing: this process has a link to every member."""


@final
@attrs.define
class LeaderCalls:
    """Sends calls to the current leader over the open links.

    A call may be sent more than once, so every method that is called this way
    must be idempotent: commands carry a request id or are conditional, claims
    carry a claim id, heartbeats a sequence. Where calls can have opposite
    effects, the leader drops one that arrives after its sender has given up.
    """

    open_links: Callable[[], list[Link]]
    clock: Any
    random: Random
    # Called with the name of each leader that a member refers to.
    on_leader_hint: Callable[[str], None] = attrs.field(default=_ignore_hint)
    # Name of the instance that answered last as the leader, or that a member
    # referred to; empty if unknown.
    leader: str = ''
    retry_delay_seconds: float = FIRST_RETRY_DELAY_SECONDS

    def call(
        self,
        method: Method,
        message: Any,
        reply_class: type[MessageType],
        timeout_seconds: float,
    ) -> Deferred[MessageType]:
        """Call the leader; retry until ``timeout_seconds`` have passed.

        The result fails with ``CallError``: with code ``unavailable`` the call
        certainly did not run, with ``outcome_unknown`` it may have run; with
        any other code the leader refused it. Once it is cancelled, the call is
        not sent again.
        """
        leader_call = _LeaderCall(
            calls=self,
            method=method,
            message=message,
            reply_class=reply_class,
            deadline=self.clock.seconds() + timeout_seconds,
        )
        leader_call.attempt()
        return leader_call.result

    def pick_link(self) -> Link | None:
        """Return the link to the leader, or to a member that may know it."""
        links = self.open_links()
        for link in links:
            if self.leader and link.peer.name == self.leader:
                return link
        return self.random.choice(links) if links else None

    def follow_hint(self, leader: str) -> None:
        """Call ``leader`` from now on; empty if the leader is unknown."""
        self.leader = leader
        if leader:
            self.on_leader_hint(leader)

    def next_retry_delay(self) -> float:
        """Return the delay before a retry in seconds.

        The delay doubles up to a maximum until a call succeeds. All calls
        share it, so that concurrent calls do not retry more often than one
        call would while there is no leader.
        """
        delay = self.retry_delay_seconds * self.random.uniform(0.5, 1.0)
        self.retry_delay_seconds = min(
            self.retry_delay_seconds * 2, MAX_RETRY_DELAY_SECONDS
        )
        return delay


@final
@attrs.define
class _LeaderCall:
    calls: LeaderCalls
    method: Method
    message: Any
    reply_class: type
    deadline: float
    may_have_run: bool = False
    result: Deferred[Any] = attrs.field(factory=Deferred)

    def attempt(self) -> None:
        if self.result.called:
            # It was cancelled; a reply that still comes is dropped.
            return
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
            timeout_seconds=min(remaining, ATTEMPT_TIMEOUT_SECONDS),
        )
        sent.addCallbacks(self._on_reply, self._on_failure, (link,))

    def _on_reply(self, reply: Any, link: Link) -> None:
        self.calls.retry_delay_seconds = FIRST_RETRY_DELAY_SECONDS
        self.calls.leader = link.peer.name
        self.result.callback(reply)

    def _on_failure(self, failure: TwistedFailure) -> None:
        error = failure.value
        code = getattr(error, 'code', FailureCode.internal)
        if code in _UNKNOWN_OUTCOME_CODES:
            self.may_have_run = True
        elif code not in _NOT_RUN_CODES:
            self.result.errback(failure)
            return
        self.calls.follow_hint(getattr(error, 'leader', ''))
        self._retry_later(self.deadline - self.calls.clock.seconds())

    def _retry_later(self, remaining: float) -> None:
        delay = self.calls.next_retry_delay()
        self.calls.clock.callLater(
            max(min(delay, remaining), 0),
            self.attempt,
        )

    def _give_up(self) -> None:
        if self.may_have_run:
            code = FailureCode.outcome_unknown
            text = 'no answer from the control leader; it may have run'
        else:
            code = FailureCode.unavailable
            text = 'no control leader can be reached'
        self.result.errback(CallError(code, text))

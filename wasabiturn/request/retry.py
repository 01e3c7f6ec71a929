"""Retries and hedges: within the deadline and a budget."""

from collections import deque
from typing import final

import attrs

RETRY_SHARE = 0.1
MAX_RETRY_TOKENS = 20.0
MAX_ATTEMPTS = 4
LATENCY_WINDOW = 512
MIN_LATENCIES = 32
HEDGE_QUANTILE = 0.95
MIN_HEDGE_SECONDS = 0.002


@final
@attrs.define
class RetryBudget:
    """Tokens of one service; each request earns a share of one retry."""

    tokens: float = MAX_RETRY_TOKENS / 2


def earn_retry(budget: RetryBudget) -> None:
    """Add the share that one new request earns."""
    budget.tokens = min(budget.tokens + RETRY_SHARE, MAX_RETRY_TOKENS)


def take_retry(budget: RetryBudget) -> bool:
    """Take one retry or hedge; false when the budget is spent."""
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True


@final
@attrs.define
class LatencyWindow:
    """Newest latencies of a service, in seconds."""

    recent: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=LATENCY_WINDOW),
    )
    hedge_seconds: float | None = None
    _since_update: int = 0

    def record(self, seconds: float) -> None:
        """Take the latency of one answered request."""
        self.recent.append(seconds)
        self._since_update += 1
        if self._since_update >= MIN_LATENCIES:
            self._since_update = 0
            ordered = sorted(self.recent)
            observed = ordered[int(len(ordered) * HEDGE_QUANTILE)]
            self.hedge_seconds = max(observed, MIN_HEDGE_SECONDS)


@final
@attrs.frozen
class UnansweredRequest:
    """What is known of a request whose newest attempt got no answer.

    ``certain`` means that no attempt ran; ``repeatable`` means that the body
    is still held whole, so that it can be sent again.
    """

    idempotent: bool
    certainly_not_run: bool
    repeatable: bool
    attempts: int
    deadline: float


def may_retry(
    unanswered: UnansweredRequest, budget: RetryBudget, now: float
) -> bool:
    """Decide whether to send a request again at ``now``, and pay for it."""
    if not (unanswered.idempotent or unanswered.certainly_not_run):
        return False
    if not unanswered.repeatable or unanswered.attempts >= MAX_ATTEMPTS:
        return False
    return now < unanswered.deadline and take_retry(budget)


def may_hedge(attempts: int, budget: RetryBudget) -> bool:
    """Decide whether to send a second attempt beside the first, and pay."""
    return attempts == 1 and take_retry(budget)

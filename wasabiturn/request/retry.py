"""Retries and hedged requests, limited by the deadline and a budget."""

from collections import deque
from typing import final

import attrs

RETRY_SHARE = 0.1  # retries earned by each request
MAX_RETRY_TOKENS = 20.0
MAX_ATTEMPTS = 4
LATENCY_WINDOW_SAMPLES = 512
HEDGE_UPDATE_SAMPLES = 32
HEDGE_QUANTILE = 0.95
MIN_HEDGE_SECONDS = 0.002


@final
@attrs.define
class RetryBudget:
    """Retry tokens of one service; each request earns part of a token."""

    tokens: float = MAX_RETRY_TOKENS / 2


def earn_retry(budget: RetryBudget) -> None:
    """Add the part of a token that a new request earns."""
    budget.tokens = min(budget.tokens + RETRY_SHARE, MAX_RETRY_TOKENS)


def spend_retry(budget: RetryBudget) -> bool:
    """Spend a token on a retry or hedge; return false if none is left."""
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True


@final
@attrs.define
class LatencyWindow:
    """Newest latencies of a service, in seconds.

    ``hedge_seconds`` is the delay before a hedged request is sent, ``None``
    before the first ``HEDGE_UPDATE_SAMPLES`` latencies.
    """

    recent: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=LATENCY_WINDOW_SAMPLES),
    )
    hedge_seconds: float | None = None
    _samples_since_update: int = 0

    def record(self, seconds: float) -> None:
        """Record the latency of an answered request."""
        self.recent.append(seconds)
        self._samples_since_update += 1
        if self._samples_since_update >= HEDGE_UPDATE_SAMPLES:
            self._samples_since_update = 0
            ordered = sorted(self.recent)
            quantile_seconds = ordered[int(len(ordered) * HEDGE_QUANTILE)]
            self.hedge_seconds = max(quantile_seconds, MIN_HEDGE_SECONDS)


@final
@attrs.frozen
class UnansweredRequest:
    """State of a request whose newest attempt got no answer.

    ``certainly_not_run`` means that no attempt ran; ``repeatable`` means
    that the whole body is still buffered and can be sent again.
    """

    idempotent: bool
    certainly_not_run: bool
    repeatable: bool
    attempts: int
    deadline: float


def may_retry(
    unanswered: UnansweredRequest, budget: RetryBudget, now: float
) -> bool:
    """Return whether to retry a request at ``now``; spend a token if so."""
    if not (unanswered.idempotent or unanswered.certainly_not_run):
        return False
    if not unanswered.repeatable or unanswered.attempts >= MAX_ATTEMPTS:
        return False
    return now < unanswered.deadline and spend_retry(budget)


def may_hedge(attempts: int, budget: RetryBudget) -> bool:
    """Return whether to send a hedged request; spend a token if so."""
    return attempts == 1 and spend_retry(budget)

"""Choice of agents for all requests of one entry."""

from collections import defaultdict
from collections.abc import Sequence
from random import Random
from typing import Any, final

from wasabiturn.connection.link import Link
from wasabiturn.ids import DataCentre, InstanceName, ServiceName
from wasabiturn.process.entry.agents import AgentPool
from wasabiturn.request.inbound import InboundRequest
from wasabiturn.request.retry import LatencyWindow, RetryBudget
from wasabiturn.request.routing import (
    Candidate,
    Choice,
    choose_agent,
    prefer_without_suspects,
)
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.metrics import Metrics, NoMetrics

_log = create_component_log('entry')


@final
class Router:
    """Chooses agents; keeps retry budgets and latencies by service."""

    def __init__(
        self,
        pool: AgentPool,
        data_centre: DataCentre,
        reactor: Any,
        random: Random,
        metrics: Metrics | None = None,
    ) -> None:
        """Create the router of the entry in ``data_centre``."""
        self.pool = pool
        self._metrics: Metrics = metrics or NoMetrics()
        self._data_centre = data_centre
        self.reactor = reactor
        self._random = random
        self._budgets_by_service: dict[ServiceName, RetryBudget] = defaultdict(
            RetryBudget,
        )
        self._latencies_by_service: dict[ServiceName, LatencyWindow] = (
            defaultdict(LatencyWindow)
        )

    def now(self) -> float:
        """Return the reactor's time in seconds."""
        return float(self.reactor.seconds())

    def choose(
        self,
        request: InboundRequest,
        tried: set[InstanceName],
        crashes: int = 0,
    ) -> Choice | None:
        """Choose an agent, preferring those not in ``tried``.

        ``crashes`` are the backend servers that crashed under the request.
        """
        candidates = self.pool.find_candidates(request.service_name)
        preferred: Sequence[Candidate] = [
            each for each in candidates if each.name not in tried
        ]
        if crashes:
            preferred = prefer_without_suspects(preferred)
        chosen = choose_agent(
            preferred or candidates,
            self._data_centre,
            self._random,
            self.now(),
        )
        if chosen.is_error():
            _log.decision(
                'not routed',
                request=request.request_id,
                service=request.service_name,
                reason=chosen.error.reason,
            )
            return None
        _log.decision(
            'routed',
            request=request.request_id,
            service=request.service_name,
            tried=sorted(tried),
            crashes=crashes,
            seconds_by_agent={
                score.name: round(score.seconds, 6)
                for score in chosen.ok.scores
            },
            chosen=chosen.ok.candidate.name,
        )
        return chosen.ok

    def record_given_up(self, request: InboundRequest, crashes: int) -> None:
        """Record that a request is not sent on because of crashes."""
        _log.decision(
            'request not sent on: it is suspected of crashing backend servers',
            request=request.request_id,
            service=request.service_name,
            crashes=crashes,
            chosen='refused',
        )
        self._metrics.incr('requests.given_up_after_crashes')

    def has_candidate(self, service_name: ServiceName) -> bool:
        """Return whether any agent of a service is reachable."""
        candidates = self.pool.find_candidates(service_name)
        return any(candidate.reachable for candidate in candidates)

    def find_link(self, candidate: Candidate, incarnation: str) -> Link | None:
        """Return the open link to an agent.

        Return ``None`` if there is none, or if ``incarnation`` is set and
        differs from the agent's.
        """
        link = self.pool.find_link(candidate.name)
        if link is None or not link.is_open:
            return None
        if incarnation and link.peer.incarnation != incarnation:
            return None
        return link

    def find_budget(self, service_name: ServiceName) -> RetryBudget:
        """Return the retry budget of a service."""
        return self._budgets_by_service[service_name]

    def hedge_seconds(self, service_name: ServiceName) -> float | None:
        """Return the delay before a hedge; ``None`` means no hedging."""
        return self._latencies_by_service[service_name].hedge_seconds

    def record_latency(self, service_name: ServiceName, seconds: float) -> None:
        """Record the time until an answer started."""
        self._latencies_by_service[service_name].record(seconds)

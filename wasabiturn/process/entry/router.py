"""Routing of requests: shared by all requests of one entry."""

from collections import defaultdict
from random import Random
from typing import Any, final

from wasabiturn.connection.link import Link
from wasabiturn.ids import DataCentre, InstanceName, ServiceName
from wasabiturn.process.entry.agents import AgentPool
from wasabiturn.request.inbound import InboundRequest
from wasabiturn.request.retry import LatencyWindow, RetryBudget
from wasabiturn.request.routing import Candidate, Choice, choose_agent
from wasabiturn.utils.logs import create_part_log

_log = create_part_log('entry')


@final
class Router:
    """Chooses agents and keeps the budgets of each service."""

    def __init__(
        self,
        pool: AgentPool,
        data_centre: DataCentre,
        reactor: Any,
        random: Random,
    ) -> None:
        """Create the router of the entry in ``data_centre``."""
        self.pool = pool
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
        """Return the loop's time in seconds."""
        return float(self.reactor.seconds())

    def choose(
        self,
        request: InboundRequest,
        tried: set[InstanceName],
    ) -> Choice | None:
        """Choose an agent, one not yet tried where there is one."""
        candidates = self.pool.find_candidates(request.service_name)
        fresh = [each for each in candidates if each.name not in tried]
        chosen = choose_agent(
            fresh or candidates,
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
            seconds_by_agent={
                score.name: round(score.seconds, 6)
                for score in chosen.ok.scores
            },
            chosen=chosen.ok.candidate.name,
        )
        return chosen.ok

    def has_candidate(self, service_name: ServiceName) -> bool:
        """Tell whether an agent can take a request of a service now."""
        candidates = self.pool.find_candidates(service_name)
        return any(candidate.reachable for candidate in candidates)

    def find_link(self, candidate: Candidate, incarnation: str) -> Link | None:
        """Return the open link to an agent, of ``incarnation`` if it is set."""
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
        """Return how long to wait before a hedge; ``None`` means never."""
        return self._latencies_by_service[service_name].hedge_seconds

    def record_latency(self, service_name: ServiceName, seconds: float) -> None:
        """Take the time until an answer began."""
        self._latencies_by_service[service_name].record(seconds)

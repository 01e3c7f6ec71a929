"""Choice of the agent that a request is sent to."""

from collections.abc import Sequence
from random import Random
from typing import final

import attrs
from expression import Error, Ok, Result

from wasabiturn.ids import DataCentre, InstanceName
from wasabiturn.request.health import (
    AgentHealth,
    is_ejected,
    slow_start_share,
)
from wasabiturn.request.load import (
    AgentLoad,
    estimate_in_use,
    estimate_overdue,
    estimate_wait,
)

CROSSING_SECONDS = 0.001
# Agents that are compared for one request.
SAMPLE_SIZE = 16
# A service time is counted from this many times the median on.
SLOW_RATIO = 1.5
# Mean share of slots in use up to which a service is hedged.
MAX_HEDGE_UTILIZATION = 0.85


@final
@attrs.define
class Candidate:
    """An agent with a backend server of the requested service."""

    name: InstanceName
    data_centre: DataCentre
    load: AgentLoad
    health: AgentHealth
    reachable: bool = True


@final
@attrs.frozen
class Score:
    """Estimated cost of one agent.

    ``wait_seconds`` until a slot is free; ``extra_seconds`` by which its
    service, its distance and the answer that it owes exceed the usual; the
    share of slots in use.
    """

    name: InstanceName
    wait_seconds: float
    extra_seconds: float
    utilization: float

    @property
    def seconds(self) -> float:
        """Return what this agent costs beyond the usual service time."""
        return self.wait_seconds + self.extra_seconds

    @property
    def order(self) -> tuple[float, float]:
        """Return the key of the order in which agents are preferred."""
        return self.wait_seconds + self.extra_seconds, self.utilization


@final
@attrs.frozen
class Choice:
    """Chosen agent, and the scores that it was chosen by."""

    candidate: Candidate
    scores: tuple[Score, ...]


@final
@attrs.frozen
class NoCandidate:
    """No agent can take the request now."""

    reason: str


def choose_agent(
    candidates: Sequence[Candidate],
    data_centre: DataCentre,
    random: Random,
    now: float,
) -> Result[Choice, NoCandidate]:
    """Choose the agent with the least estimated cost at ``now``.

    Of more than ``SAMPLE_SIZE`` agents, so many are sampled. An agent in
    another data centre must be better by the latency of crossing. Ejected
    agents are used only when nothing else is left.
    """
    reachable = [each for each in candidates if each.reachable]
    if not reachable:
        return Error(NoCandidate('no backend server is reachable'))
    healthy = [each for each in reachable if not is_ejected(each.health, now)]
    sampled = _sample(healthy or reachable, random)
    usual_seconds = SLOW_RATIO * _median_service(sampled)
    scores = [_score(each, data_centre, now, usual_seconds) for each in sampled]
    best = min(range(len(scores)), key=lambda index: scores[index].order)
    return Ok(
        Choice(
            candidate=sampled[best],
            scores=tuple(scores),
        ),
    )


def may_take_hedge(choice: Choice) -> bool:
    """Tell whether the compared agents have slots to spare for a hedge."""
    total = sum(score.utilization for score in choice.scores)
    return total <= MAX_HEDGE_UTILIZATION * len(choice.scores)


def _sample(candidates: list[Candidate], random: Random) -> list[Candidate]:
    """Return candidates in a random order, so that ties are spread."""
    return random.sample(candidates, min(SAMPLE_SIZE, len(candidates)))


def _median_service(candidates: list[Candidate]) -> float:
    ordered = sorted(each.load.service_seconds for each in candidates)
    return ordered[len(ordered) // 2]


def _score(
    candidate: Candidate,
    data_centre: DataCentre,
    now: float,
    usual_seconds: float,
) -> Score:
    load = candidate.load
    in_use = estimate_in_use(load, now)
    share = slow_start_share(candidate.health, now)
    slow_seconds = max(load.service_seconds - usual_seconds, 0)
    crossing = 0 if candidate.data_centre == data_centre else CROSSING_SECONDS
    return Score(
        name=candidate.name,
        wait_seconds=estimate_wait(load, in_use, share),
        extra_seconds=slow_seconds + crossing + estimate_overdue(load, now),
        utilization=in_use / max(load.slots * share, 1),
    )

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

# Added to the cost of an agent in another data centre.
CROSS_DATA_CENTRE_SECONDS = 0.001
# Maximum number of agents that are compared for a request.
SAMPLE_SIZE = 16
# Service time beyond this many times the median is added to an agent's cost.
SLOW_SERVICE_RATIO = 1.5
# Hedged requests are sent only up to this mean utilization of the slots.
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
    # Requests of this entry at the agent that are suspected of a crash.
    suspects: int = 0


@final
@attrs.frozen
class Score:
    """Estimated cost of sending a request to one agent."""

    name: InstanceName
    # Time until a slot is free.
    wait_seconds: float
    # Sum of the penalties for slow service, for another data centre and for an
    # overdue answer.
    penalty_seconds: float
    # Requests at the agent as a share of its usable slots.
    utilization: float

    @property
    def seconds(self) -> float:
        """Return the total cost without the usual service time."""
        return self.wait_seconds + self.penalty_seconds

    @property
    def sort_key(self) -> tuple[float, float]:
        """Return the sort key; the agent with the lowest is preferred."""
        return self.wait_seconds + self.penalty_seconds, self.utilization


@final
@attrs.frozen
class Choice:
    """Chosen agent, and the scores of all agents that were compared."""

    candidate: Candidate
    scores: tuple[Score, ...]


@final
@attrs.frozen
class NoCandidate:
    """Reason why no agent can take a request now."""

    reason: str


def choose_agent(
    candidates: Sequence[Candidate],
    data_centre: DataCentre,
    random: Random,
    now: float,
) -> Result[Choice, NoCandidate]:
    """Choose the agent with the least estimated cost at ``now``.

    Compares a random sample of at most ``SAMPLE_SIZE`` agents. An agent in
    another data centre must be better by ``CROSS_DATA_CENTRE_SECONDS``.
    Ejected agents are used only if no other reachable one is left.
    """
    reachable = [each for each in candidates if each.reachable]
    if not reachable:
        return Error(NoCandidate('no backend server is reachable'))
    healthy = [each for each in reachable if not is_ejected(each.health, now)]
    sampled = _sample(healthy or reachable, random)
    slow_above_seconds = SLOW_SERVICE_RATIO * _median_service(sampled)
    scores = [
        _score(each, data_centre, now, slow_above_seconds) for each in sampled
    ]
    best = min(range(len(scores)), key=lambda index: scores[index].sort_key)
    return Ok(
        Choice(
            candidate=sampled[best],
            scores=tuple(scores),
        ),
    )


def prefer_without_suspects(
    candidates: Sequence[Candidate],
) -> Sequence[Candidate]:
    """Return the agents for a request that is suspected of a crash.

    If a suspect is alone of its kind at a backend server, the next crash
    tells whether it is the cause.
    """
    without_suspects = [
        each for each in candidates if each.reachable and not each.suspects
    ]
    return without_suspects or candidates


def may_take_hedge(choice: Choice) -> bool:
    """Return whether the compared agents have free slots for a hedge."""
    total = sum(score.utilization for score in choice.scores)
    return total <= MAX_HEDGE_UTILIZATION * len(choice.scores)


def _sample(candidates: list[Candidate], random: Random) -> list[Candidate]:
    """Return a sample in random order, which breaks ties at random."""
    return random.sample(candidates, min(SAMPLE_SIZE, len(candidates)))


def _median_service(candidates: list[Candidate]) -> float:
    ordered = sorted(each.load.service_seconds for each in candidates)
    return ordered[len(ordered) // 2]


def _score(
    candidate: Candidate,
    data_centre: DataCentre,
    now: float,
    slow_above_seconds: float,
) -> Score:
    load = candidate.load
    in_use = estimate_in_use(load, now)
    usable_share = slow_start_share(candidate.health, now)
    slow_seconds = max(load.service_seconds - slow_above_seconds, 0)
    crossing_seconds = (
        0 if candidate.data_centre == data_centre else CROSS_DATA_CENTRE_SECONDS
    )
    return Score(
        name=candidate.name,
        wait_seconds=estimate_wait(load, in_use, usable_share),
        penalty_seconds=slow_seconds
        + crossing_seconds
        + estimate_overdue(load, now),
        utilization=in_use / max(load.slots * usable_share, 1),
    )

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
from wasabiturn.request.load import AgentLoad, estimate_in_use, estimate_wait

CROSSING_SECONDS = 0.001
SAMPLE_SIZE = 2


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
    """Estimated seconds until an answer, and the share of slots in use."""

    name: InstanceName
    seconds: float
    utilization: float


@final
@attrs.frozen
class Choice:
    """Chosen agent and the scores that it was chosen by."""

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
    """Choose among two sampled agents of each side of the data centre.

    The one with the least estimated time to an answer at ``now`` wins; an
    agent in another data centre must be better by the latency of crossing.
    Ejected agents are used only when nothing else is left.
    """
    reachable = [each for each in candidates if each.reachable]
    if not reachable:
        return Error(NoCandidate('no backend server is reachable'))
    healthy = [each for each in reachable if not is_ejected(each.health, now)]
    sampled = _sample(healthy or reachable, data_centre, random)
    scores = tuple(_score(each, data_centre, now) for each in sampled)
    best = min(
        range(len(scores)),
        key=lambda index: (scores[index].seconds, scores[index].utilization),
    )
    return Ok(Choice(candidate=sampled[best], scores=scores))


def _sample(
    candidates: list[Candidate],
    data_centre: DataCentre,
    random: Random,
) -> list[Candidate]:
    local = [each for each in candidates if each.data_centre == data_centre]
    remote = [each for each in candidates if each.data_centre != data_centre]
    return [*_pick(local, random), *_pick(remote, random)]


def _pick(candidates: list[Candidate], random: Random) -> list[Candidate]:
    if len(candidates) <= SAMPLE_SIZE:
        return candidates
    return random.sample(candidates, SAMPLE_SIZE)


def _score(
    candidate: Candidate,
    data_centre: DataCentre,
    now: float,
) -> Score:
    load = candidate.load
    share = slow_start_share(candidate.health, now)
    utilization = estimate_in_use(load, now) / max(load.slots * share, 1)
    crossing = 0 if candidate.data_centre == data_centre else CROSSING_SECONDS
    return Score(
        name=candidate.name,
        seconds=estimate_wait(load, now) + load.service_seconds + crossing,
        utilization=utilization,
    )

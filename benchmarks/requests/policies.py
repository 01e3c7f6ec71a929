"""Policies to compare: the package's own, its variants, and baselines."""

from collections.abc import Callable
from typing import Any, final

import attrs

from wasabiturn.ids import DataCentre
from wasabiturn.request.load import estimate_in_use
from wasabiturn.request.routing import Candidate, choose_agent

NO_DATA_CENTRE = DataCentre('')

Chooser = Callable[[Any, list[Candidate], float], Candidate | None]


@final
@attrs.frozen
class Policy:
    """How an entry chooses an agent, and whether it retries and hedges."""

    name: str
    choose: Chooser
    retries: bool = True
    hedges: bool = True
    # Hedges only while the utilization is at most ``MAX_HEDGE_UTILIZATION``.
    hedges_only_when_idle: bool = True


def choose_by_package(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose an agent as the entry program does."""
    chosen = choose_agent(candidates, entry.data_centre, entry.random, now)
    return chosen.ok.candidate if chosen.is_ok() else None


def choose_round_robin(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose the reachable agents in turn."""
    usable = [each for each in candidates if each.reachable]
    entry.round_robin_index += 1
    return usable[entry.round_robin_index % len(usable)] if usable else None


def choose_at_random(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose any reachable agent at random."""
    usable = [each for each in candidates if each.reachable]
    return entry.random.choice(usable) if usable else None


def choose_least_outstanding(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose the agent with the fewest requests in flight from this entry."""
    usable = [each for each in candidates if each.reachable]
    entry.random.shuffle(usable)
    return min(usable, key=lambda each: each.load.in_flight, default=None)


def choose_without_preference(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose as the entry program does, but from all data centres alike."""
    chosen = choose_agent(candidates, NO_DATA_CENTRE, entry.random, now)
    return chosen.ok.candidate if chosen.is_ok() else None


def choose_by_use(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose the less used of two random agents.

    The use is estimated from load reports, allowing for their age.
    """
    usable = [each for each in candidates if each.reachable]
    sampled = entry.random.sample(usable, min(2, len(usable)))
    return min(
        sampled,
        key=lambda each: estimate_in_use(each.load, now),
        default=None,
    )


POLICIES = (
    Policy('wasabiturn', choose_by_package),
    Policy('wasabiturn, no hedging', choose_by_package, hedges=False),
    Policy(
        'wasabiturn, hedge always',
        choose_by_package,
        hedges_only_when_idle=False,
    ),
    Policy('wasabiturn, no retries', choose_by_package, retries=False),
    Policy('wasabiturn, any centre', choose_without_preference),
    Policy('two by use', choose_by_use),
    Policy('round robin', choose_round_robin, hedges=False),
    Policy('random', choose_at_random, hedges=False),
    Policy('least outstanding', choose_least_outstanding, hedges=False),
)

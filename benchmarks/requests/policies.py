"""The package's policy, its ablations, and simple baselines."""

from collections.abc import Callable
from typing import Any, final

import attrs

from wasabiturn.ids import DataCentre
from wasabiturn.request.load import estimate_in_use
from wasabiturn.request.routing import Candidate, choose_agent

NOWHERE = DataCentre('')

Chooser = Callable[[Any, list[Candidate], float], Candidate | None]


@final
@attrs.frozen
class Policy:
    """How an entry chooses, and whether it retries and hedges."""

    name: str
    choose: Chooser
    retries: bool = True
    hedges: bool = True
    only_idle: bool = True


def choose_by_package(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose as the entry program does."""
    chosen = choose_agent(candidates, entry.data_centre, entry.random, now)
    return chosen.ok.candidate if chosen.is_ok() else None


def choose_in_turn(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose round robin."""
    usable = [each for each in candidates if each.reachable]
    entry.turn += 1
    return usable[entry.turn % len(usable)] if usable else None


def choose_at_random(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose any."""
    usable = [each for each in candidates if each.reachable]
    return entry.random.choice(usable) if usable else None


def choose_least_outstanding(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose the fewest requests in flight by this entry alone."""
    usable = [each for each in candidates if each.reachable]
    entry.random.shuffle(usable)
    return min(usable, key=lambda each: each.load.in_flight, default=None)


def choose_without_preference(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose as the package does, as if in one data centre."""
    chosen = choose_agent(candidates, NOWHERE, entry.random, now)
    return chosen.ok.candidate if chosen.is_ok() else None


def choose_by_use(
    entry: Any,
    candidates: list[Candidate],
    now: float,
) -> Candidate | None:
    """Choose the fewer requests in use of two, by the aged reports."""
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
    Policy('wasabiturn, hedge always', choose_by_package, only_idle=False),
    Policy('wasabiturn, no retries', choose_by_package, retries=False),
    Policy('wasabiturn, any centre', choose_without_preference),
    Policy('two by use', choose_by_use),
    Policy('round robin', choose_in_turn, hedges=False),
    Policy('random', choose_at_random, hedges=False),
    Policy('least outstanding', choose_least_outstanding, hedges=False),
)

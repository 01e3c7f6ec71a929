"""Simulated heavy load of filling work beside lasting jobs."""

import pytest

from benchmarks.queues.deployments import (
    DEPLOYMENTS,
    FILLING,
    QUICK,
    Deployment,
)
from benchmarks.queues.simulation import Score, Simulation

DAY_SECONDS = 20
# Lasting tasks may be over their goal due to filling ones for at most this
# share of the time.
MAX_OVER_GOAL_SHARE = 0.05


def served_share(score: Score, queue: str) -> float:
    served = score.in_time.get(queue, 0) + score.late.get(queue, 0)
    return served / score.submitted[queue]


@pytest.mark.parametrize(
    'deployment', DEPLOYMENTS, ids=lambda deployment: deployment.name
)
@pytest.mark.parametrize('seed', [1, 2])
def test_lasting_jobs_keep_goals_while_filling_jobs_are_served(
    deployment: Deployment,
    seed: int,
) -> None:
    score = Simulation(deployment, seed).simulate(DAY_SECONDS)
    assert (
        score.over_goal_seconds <= MAX_OVER_GOAL_SHARE * score.lasting_seconds
    )
    assert served_share(score, FILLING) >= 0.5
    assert served_share(score, QUICK) >= 0.9

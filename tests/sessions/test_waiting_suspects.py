"""Tests of suspects that wait in turn after a burst of crashes.

WASABITURN_SEEDS=0:100 measures on more seeds. Before suspects had turns by age
with a limit, each of the seeds below left jobs without a run in the calm.
"""

import os

import pytest

from tests.sessions.waiting_suspects import WaitingSession

DEADLY_JOBS = 3
LONG_CRASHING_SECONDS = 52.0
FIRST_SEED, SEED_COUNT = map(
    int, os.environ.get('WASABITURN_SEEDS', '0:5').split(':')
)
SEEDS = range(FIRST_SEED, FIRST_SEED + SEED_COUNT)


@pytest.mark.parametrize('seed', SEEDS)
def test_no_job_waits_for_its_suspects_in_calm(seed: int) -> None:
    session = WaitingSession(seed)
    session.play()
    assert not session.find_idle_jobs()
    assert not session.find_failed_jobs()


def test_no_job_waits_for_its_suspects_after_many_crashes() -> None:
    """Two of three workers crash 36 times, as in review case 10."""
    session = WaitingSession(seed=1, crashing_seconds=LONG_CRASHING_SECONDS)
    session.play()
    assert not session.find_idle_jobs()
    assert not session.find_failed_jobs()


@pytest.mark.parametrize('seed', SEEDS)
def test_deadly_jobs_among_many_suspects_are_given_up(seed: int) -> None:
    session = WaitingSession(seed, deadly_jobs=DEADLY_JOBS)
    session.play()
    assert not session.find_unfinished_deadly_jobs()
    assert not session.count_excess_starts()

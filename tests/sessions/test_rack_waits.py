"""Tasks that wait for their rack, with a leader, agents and workers."""

from collections.abc import Iterator
from typing import Any

import pytest
from eliot import add_destinations, remove_destination

from tests.sessions.batch_fakes import BatchFleet, create_step
from wasabiturn.batch.placing.locality.state import LocalityTerms
from wasabiturn.messages.kinds import JobState
from wasabiturn.process import exposition
from wasabiturn.standins.batch_worker import SimulatedWork

TERMS = LocalityTerms(slowdown_factor=2)
# As large as a worker.
FULL = {'millicores': 4000, 'preferred_rack': 'r1-1'}


@pytest.fixture
def waits() -> Iterator[list[dict[str, Any]]]:
    """Collect the log lines about waits that have ended."""
    lines: list[dict[str, Any]] = []

    def collect(message: dict[str, Any]) -> None:
        if message.get('text') == 'queues: wait for rack ended':
            lines.append(message)

    add_destinations(collect)
    yield lines
    remove_destination(collect)


def occupy_rack(
    fleet: BatchFleet, seconds: float, estimate_ms: int | None = None
) -> None:
    """Fill the rack with a run of so many seconds."""
    fleet.run(1.5)
    step = create_step(estimate_ms=estimate_ms or int(seconds * 1000), **FULL)
    fleet.submit('busy', [step], SimulatedWork(seconds))
    fleet.run(0.3)


def find_worker(fleet: BatchFleet, task: str) -> str:
    (worker,) = (run[3] for run in fleet.run_starts if run[1] == task)
    return worker


def count_waits(outcome: str) -> float:
    return (
        exposition.registry.get_sample_value(
            'wasabiturn_rack_wait_seconds_count', {'outcome': outcome}
        )
        or 0
    )


def test_a_task_waits_for_its_rack_and_the_wait_is_reported(
    waits: list[dict[str, Any]],
) -> None:
    fleet = BatchFleet(workers=2, locality_terms=TERMS)
    before = count_waits('near')
    occupy_rack(fleet, 1)
    fleet.submit('j', [create_step(estimate_ms=3000, **FULL)], SimulatedWork(3))
    fleet.run_until('j', JobState.done, 8)
    assert find_worker(fleet, 'j.0.0.0') == 'worker-1'
    (line,) = waits
    assert line['step'] == 'j.0.0'
    assert line['outcome'] == 'near'
    assert 0.3 <= line['waited_seconds'] <= 1.1
    assert line['near'] == 1
    assert not line['far']
    assert count_waits('near') == before + 1


@pytest.mark.parametrize('terms', [LocalityTerms(), TERMS])
def test_a_rack_that_stays_full_is_not_waited_for(
    terms: LocalityTerms,
) -> None:
    fleet = BatchFleet(workers=2, locality_terms=terms)
    occupy_rack(fleet, 30)
    fleet.submit('j', [create_step(estimate_ms=3000, **FULL)], SimulatedWork(3))
    fleet.run(0.5)
    assert find_worker(fleet, 'j.0.0.0') == 'worker-2'


def test_a_new_leader_starts_a_task_that_has_waited(
    waits: list[dict[str, Any]],
) -> None:
    """Guards against a wait that outlasts its leader."""
    fleet = BatchFleet(workers=2, locality_terms=TERMS)
    occupy_rack(fleet, 9, estimate_ms=1650)
    fleet.submit('j', [create_step(estimate_ms=5000, **FULL)], SimulatedWork(3))
    fleet.run(0.1)
    assert 'j.0.0.0' not in fleet.find_workers_by_task()
    fleet.change_leader(0.1)
    fleet.run(1.3)
    assert find_worker(fleet, 'j.0.0.0') == 'worker-2'
    assert not waits

"""Parts of placement: observed sizes, quarantine, queue and settings."""

import pytest

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import Capacity, TaskSpec
from wasabiturn.version.placement.observations import Observations
from wasabiturn.version.placement.quarantine import (
    FIRST_QUARANTINE_SECONDS,
    Quarantine,
)
from wasabiturn.version.placement.queue import (
    PriorityClass,
    QueuedOwner,
    WaitingQueue,
    priority_of,
)
from wasabiturn.version.placement.settings import parse_placement_settings

DECLARED = Capacity(2, 1000, 1)


def test_larger_of_declared_and_observed_size_is_charged() -> None:
    observations = Observations()
    observations.observe_size('cut', DECLARED, Capacity(3, 500, 0))
    charged = observations.charged_size('cut', Capacity(4, 2000, 1))
    assert charged == Capacity(6, 2000, 1)


def test_observed_size_falls_slowly() -> None:
    observations = Observations()
    observations.observe_size('cut', DECLARED, Capacity(4, 1000, 0))
    for _ in range(10):
        observations.observe_size('cut', DECLARED, Capacity(1, 1000, 0))
    cores = observations.charged_size('cut', DECLARED).cores
    assert DECLARED.cores < cores < 4


def test_quarantined_worker_gets_one_task_on_trial() -> None:
    quarantine = Quarantine()
    quarantined = [
        quarantine.record_failure('w1', f'job-{number}', 0.0)
        for number in range(3)
    ]
    assert quarantined == [False, False, True]
    assert not quarantine.allows('w1', 0, FIRST_QUARANTINE_SECONDS - 1)
    assert quarantine.allows('w1', 0, FIRST_QUARANTINE_SECONDS)
    assert not quarantine.allows('w1', 1, FIRST_QUARANTINE_SECONDS)
    quarantine.record_success('w1', 'job-0')
    assert quarantine.allows('w1', 5, FIRST_QUARANTINE_SECONDS)


def test_failed_trial_quarantines_longer() -> None:
    quarantine = Quarantine()
    for number in range(3):
        quarantine.record_failure('w1', f'job-{number}', 0.0)
    assert quarantine.record_failure('w1', 'job-9', 40.0)
    assert not quarantine.allows('w1', 0, 40.0 + FIRST_QUARANTINE_SECONDS)
    assert quarantine.allows('w1', 0, 40.0 + 2 * FIRST_QUARANTINE_SECONDS)


def test_job_failing_on_all_workers_quarantines_none() -> None:
    quarantine = Quarantine()
    for attempt in range(12):
        assert not quarantine.record_failure(f'w{attempt % 6}', 'bad', 0.0)


def test_queue_orders_owners_by_age() -> None:
    queue = WaitingQueue()
    young = QueuedOwner(created=9, name='young', kind=Kind.job)
    old = QueuedOwner(created=2, name='old', kind=Kind.job)
    queue.put('young.0', TaskSpec(owner_kind=Kind.job), 'team', young)
    queue.put('old.0', TaskSpec(owner_kind=Kind.job), 'team', old)
    assert list(queue.owners(PriorityClass.batch, 'team')) == [old, young]
    queue.remove('old.0')
    queue.remove('old.0')
    assert list(queue.owners(PriorityClass.batch, 'team')) == [young]
    queue.remove('young.0')
    assert queue.teams(PriorityClass.batch) == []


def test_priority_classes() -> None:
    assert (
        priority_of(TaskSpec(owner_kind=Kind.service)) is PriorityClass.service
    )
    urgent = TaskSpec(owner_kind=Kind.job, urgent=True)
    assert priority_of(urgent) is PriorityClass.urgent


@pytest.mark.parametrize(
    ('settings', 'error'),
    [
        ({'fit': '1'}, 'fit: not a setting of placement'),
        ({'fit_weight': '-1'}, "fit_weight: '-1' is not a number"),
        ({'fit_weight': 'inf'}, "fit_weight: 'inf' is not a number"),
    ],
)
def test_error_names_invalid_setting(
    settings: dict[str, str],
    error: str,
) -> None:
    assert parse_placement_settings(settings).error.startswith(error)


def test_valid_setting_is_parsed() -> None:
    parsed = parse_placement_settings({'fit_weight': '2'}).ok
    assert parsed.fit_weight == 2

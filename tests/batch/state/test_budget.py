"""The room for jobs in the state, and how queues share it."""

from typing import Any

import attrs
import pytest

from tests.batch.jobs_fakes import accept, create_batch_state, start, step
from wasabiturn.batch import (
    BatchState,
    apply_batch_change,
    dump_batch_state,
    load_batch_state,
)
from wasabiturn.batch.state.budget import (
    count_kept_jobs,
    create_state_budget,
    find_smallest,
    has_room,
)
from wasabiturn.messages.batch import AcceptJob, BatchChange, Routing, Step
from wasabiturn.messages.codec import pack
from wasabiturn.messages.footprint import (
    NO_FOOTPRINT,
    Footprint,
    measure_job,
)
from wasabiturn.messages.link import StateBudget

BUDGET = StateBudget(memory_bytes=10_000_000, stored_bytes=2_000_000)


def accept_in(queue: str, number: int, payload: str = '') -> BatchChange:
    change = accept(f'{queue}-{number}', step(2))
    declaration = change.accepts[0].declaration
    declaration.queue = queue
    declaration.payload = payload
    return change


def measure(accepted: AcceptJob) -> Footprint:
    return measure_job(accepted, 2)


def fill(batch_state: BatchState, queue: str, payload: str = '') -> int:
    """Accept jobs of one queue until one is refused; return their number."""
    for number in range(10_000):
        change = accept_in(queue, number, payload)
        footprint = measure(change.accepts[0])
        if not has_room(batch_state, BUDGET, queue, footprint):
            return number
        apply_batch_change(batch_state, change)
    raise AssertionError('nothing bounds the jobs')


@pytest.mark.parametrize('payload', ['', 'x' * 4000], ids=['memory', 'disk'])
def test_queues_that_ask_for_everything_share_the_room(payload: str) -> None:
    batch_state = BatchState()
    counts = [fill(batch_state, queue, payload) for queue in 'abc']
    assert counts[0] > counts[1] > counts[2] > counts[0] // 6
    assert batch_state.usage.total.stored_bytes <= BUDGET.stored_bytes


def test_one_large_job_fits_in_an_empty_state() -> None:
    budget = create_state_budget(300, 128_000_000, 16_000_000)
    wide = accept('a', step(20_000)).accepts[0]
    footprint = measure_job(wide, 20_000)
    assert has_room(BatchState(), budget, 'queue', footprint)


def test_a_large_configuration_leaves_less_room() -> None:
    footprint = measure(accept_in('a', 1).accepts[0])
    batch_state = BatchState(routing=Routing(document=b'x' * 1_990_000))
    assert not has_room(batch_state, BUDGET, 'a', footprint)


def test_jobs_that_end_make_room() -> None:
    batch_state = BatchState()
    count = fill(batch_state, 'a', 'x' * 4000)
    assert fill(batch_state, 'a', 'x' * 4000) == 0
    for number in range(count):
        ends = BatchChange(cancels=[f'a-{number}'])
        apply_batch_change(batch_state, ends)
    assert batch_state.usage.total.stored_bytes < BUDGET.stored_bytes // 10
    forgets = [f'a-{number}' for number in range(count)]
    apply_batch_change(batch_state, BatchChange(forgets=forgets))
    assert batch_state.usage.total == NO_FOOTPRINT
    assert not batch_state.usage.by_queue


def test_a_job_that_still_runs_keeps_its_room() -> None:
    batch_state = create_batch_state(accept('j', step(3)), start('j.0.0.1'))
    before = batch_state.usage.total
    apply_batch_change(batch_state, BatchChange(cancels=['j']))
    assert batch_state.usage.total == before


def test_a_loaded_state_counts_as_the_one_that_was_stored() -> None:
    batch_state = create_batch_state(
        accept('a', step(3)),
        accept('b', step(2)),
        accept('c', step(2)),
        start('a.0.0.1'),
        start('b.0.0.0'),
        BatchChange(cancels=['b', 'c']),
    )
    loaded = load_batch_state(dump_batch_state(batch_state))
    assert loaded.usage == batch_state.usage


@pytest.mark.parametrize(
    ('fields', 'payload'),
    [
        ({}, ''),
        ({'image': 'i' * 200, 'required_label': 'l' * 200}, ''),
        ({'preferred_rack': 'r' * 200}, 'x' * 4000),
        ({}, '\N{GRINNING FACE}' * 1000),
    ],
)
def test_a_job_takes_no_more_in_a_snapshot_than_is_counted(
    fields: dict[str, Any], payload: str
) -> None:
    change = accept('0123456789abcdef', *[step(2, **fields)] * 20)
    change.accepts[0].declaration.payload = payload
    starts = [
        start(f'0123456789abcdef.0.{number}.{index}', worker='i-12345678')
        for number in range(20)
        for index in range(2)
    ]
    batch_state = create_batch_state(change, *starts)
    stored_bytes = len(pack(dump_batch_state(batch_state)))
    counted = batch_state.usage.total.stored_bytes
    assert counted / 3 < stored_bytes < counted


def test_each_occurrence_of_a_step_counts() -> None:
    """It is an object of its own, which takes more than its only task."""
    once = accept('a', step(100)).accepts[0]
    often = accept('a', step(1)).accepts[0]
    often.declaration.occurrences = 100
    difference = measure_job(often, 100) - measure_job(once, 100)
    assert difference.memory_bytes > 99 * 400


def test_the_smallest_member_decides() -> None:
    small = create_state_budget(300, 128_000_000, 16_000_000)
    large = create_state_budget(424, 64_000_000, 8_000_000)
    smallest = find_smallest([small, large])
    assert smallest == StateBudget(small.memory_bytes, large.stored_bytes)
    assert find_smallest([]) is None


def test_the_smallest_instance_has_some_room() -> None:
    budget = create_state_budget(64, 16_000_000, 2_000_000)
    job = measure_job(
        AcceptJob(
            declaration=attrs.evolve(
                accept('a').accepts[0].declaration, steps=[Step(tasks=20)]
            )
        ),
        20,
    )
    assert has_room(BatchState(), budget, 'queue', job)
    assert count_kept_jobs(budget) > 0

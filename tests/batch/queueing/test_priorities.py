"""Tests of the order between queues of different priorities."""

from typing import Any

import attrs
import pytest

from tests.batch.jobs_fakes import (
    ACCEPTED_MS,
    accept,
    create_batch_state,
    create_fleet,
    create_worker,
    start,
    step,
)
from tests.batch.test_decisions import plan
from wasabiturn.batch.queueing.ordering import Moment, order_parts
from wasabiturn.messages.batch import BatchChange, Step

# The fakes allow twice the estimate and 500 ms more.
SHORT_ESTIMATE_MS = 900
OBJECTIVE_MS = 2 * SHORT_ESTIMATE_MS + 500
NOW = Moment(now=0, wall_ms=ACCEPTED_MS)


def accept_in_queue(
    job_id: str, priority: int, *steps: Step, **fields: Any
) -> BatchChange:
    change = accept(job_id, *(steps or (step(1),)), **fields)
    (accepted,) = change.accepts
    accepted.terms = attrs.evolve(accepted.terms, priority=priority)
    return change


def list_order(*changes: BatchChange, moment: Moment = NOW) -> list[str]:
    batch_state = create_batch_state(*changes)
    return [
        part.job.job_id
        for part in order_parts(batch_state, moment, by_priority=True)
    ]


def test_urgent_queue_is_not_kept_waiting_by_begun_work_of_another() -> None:
    order = list_order(
        accept_in_queue('begun', 2, step(2)),
        start('begun.0.0.0'),
        accept_in_queue('urgent', 0, step(5)),
    )
    assert order == ['urgent', 'begun']


def test_queues_of_equal_priority_keep_the_order_by_size() -> None:
    for priority in (0, 2):
        order = list_order(
            accept_in_queue('large', priority, step(5)),
            accept_in_queue('small', priority, step(1)),
        )
        assert order == ['small', 'large']


@pytest.mark.parametrize(
    ('waited_ms', 'is_first'),
    [(OBJECTIVE_MS - 200, False), (OBJECTIVE_MS + 200, True)],
)
def test_late_job_does_not_starve_behind_an_urgent_queue(
    waited_ms: int, is_first: bool
) -> None:
    # Both are late; without ageing the urgent one always comes first.
    order = list_order(
        accept_in_queue('urgent', 0, accepted_ms=ACCEPTED_MS - 2000),
        accept_in_queue(
            'waiting',
            1,
            step(1, estimate_ms=SHORT_ESTIMATE_MS),
            accepted_ms=ACCEPTED_MS - waited_ms,
        ),
    )
    assert (order[0] == 'waiting') is is_first


def test_lasting_tasks_come_first_whatever_the_priority_of_their_queue() -> (
    None
):
    lasting = step(1, lasting=True, image='s', tail_goal_ms=100)
    order = list_order(
        accept_in_queue('urgent', 0),
        accept_in_queue('lasting', 2, lasting),
    )
    assert order == ['lasting', 'urgent']


def test_priority_counts_only_where_the_settings_ask_for_it() -> None:
    """Begun wide jobs of a less urgent queue would come after new ones."""
    batch_state = create_batch_state(
        accept_in_queue('begun', 2, step(2)),
        start('begun.0.0.0'),
        accept_in_queue('urgent', 0, step(5)),
    )
    fleet = create_fleet(create_worker('a', millicores=1000))
    assert set(plan(batch_state, fleet)) == {'begun.0.0.1'}
    fleet = create_fleet(create_worker('b', millicores=1000))
    fleet.orders_by_priority = True
    assert set(plan(batch_state, fleet)) == {'urgent.0.0.0'}

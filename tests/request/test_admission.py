"""Tests of admission control for one backend server."""

from hypothesis import given
from hypothesis import strategies as st

from wasabiturn.ids import Ticket
from wasabiturn.request.admission import (
    MIN_RETRY_AFTER_SECONDS,
    SlotTable,
    apply,
    create_slot_table,
)
from wasabiturn.request.admission_events import (
    Arrived,
    DeadlinesChecked,
    Finished,
    LimitsChanged,
    Withdrawn,
)
from wasabiturn.request.estimates import RecentTimes


def create_busy_table(slots: int = 2, mean_seconds: float = 0.125) -> SlotTable:
    table = create_slot_table(slots, connections=64)
    table.times.mean_seconds = mean_seconds
    table.times.sample_count = 1000
    for number in range(slots):
        apply(Arrived(Ticket(-number), 'first', 10.0), table, 0.0)
    return table


def arrive(table: SlotTable, number: int, caller: str, deadline: float) -> bool:
    """Return whether the request was admitted."""
    event = Arrived(Ticket(number), caller, deadline)
    return not apply(event, table, 0.0).refused


def test_request_that_cannot_start_in_time_is_refused_at_once() -> None:
    table = create_busy_table()
    admitted = [arrive(table, number, 'one', 0.375) for number in range(1, 9)]
    assert admitted == [True] * 4 + [False] * 4


def test_retry_after_grows_with_the_queue() -> None:
    table = create_busy_table()
    waits = []
    for number in range(1, 40):
        event = Arrived(Ticket(number), 'one', 1.0 if number < 20 else 0.01)
        waits += [
            refused.retry_after_seconds
            for refused in apply(event, table, 0.0).refused
        ]
    assert min(waits) >= MIN_RETRY_AFTER_SECONDS
    assert waits[-1] == 0.0625 * (len(table.queue) + 1)


def test_busy_caller_does_not_starve_another() -> None:
    table = create_busy_table()
    for number in range(1, 100):
        arrive(table, number, 'flood', 2.0)
    assert arrive(table, 500, 'quiet', 0.3)
    finished = apply(Finished(Ticket(0)), table, 0.1).started
    finished += apply(Finished(Ticket(-1)), table, 0.1).started
    assert Ticket(500) in finished


def test_waiting_request_that_can_no_longer_start_in_time_is_refused() -> None:
    table = create_busy_table()
    assert arrive(table, 1, 'one', 0.5)
    assert not apply(DeadlinesChecked(), table, 0.1).refused
    refused = apply(DeadlinesChecked(), table, 0.36).refused
    assert [each.ticket for each in refused] == [Ticket(1)]


def test_connections_limit_the_running_requests() -> None:
    table = create_slot_table(slots=8, connections=3)
    for number in range(10):
        arrive(table, number, 'one', 100.0)
    assert len(table.started_by_ticket) == 3


def test_recent_answer_times_expire() -> None:
    times = RecentTimes()
    times.observe(6.0, now=100.0)
    assert (times.count(101.0), times.percentile(0.99, 101.0)) == (1, 6.0)
    assert (times.count(131.0), times.percentile(0.99, 131.0)) == (0, 0.0)


events = st.one_of(
    st.tuples(
        st.just(Arrived),
        st.integers(0, 30),
        st.sampled_from(['one', 'two', 'three']),
        st.floats(0.0, 5.0),
    ),
    st.tuples(st.just(Finished), st.integers(0, 30)),
    st.tuples(st.just(Withdrawn), st.integers(0, 30)),
    st.tuples(st.just(LimitsChanged), st.integers(1, 9), st.integers(1, 9)),
    st.tuples(st.just(DeadlinesChecked)),
)


@given(st.lists(st.tuples(events, st.floats(0.0, 0.5)), max_size=200))
def test_capacity_is_kept_and_each_request_is_decided_once(
    steps: list[tuple[tuple[object, ...], float]],
) -> None:
    table = create_slot_table(slots=4, connections=6)
    now = 0.0
    waiting: set[Ticket] = set()
    running: set[Ticket] = set()
    for (kind, *parts), elapsed in steps:
        now += elapsed
        event = kind(*parts)  # type: ignore[operator]
        if kind is Arrived:
            if event.ticket in waiting | running:
                continue
            waiting.add(event.ticket)
        if kind is Withdrawn:
            waiting.discard(event.ticket)
        before = len(running)
        if kind is Finished:
            running.discard(event.ticket)
        decisions = apply(event, table, now)
        for ticket in decisions.started:
            waiting.remove(ticket)
            running.add(ticket)
        for refused in decisions.refused:
            waiting.remove(refused.ticket)
            assert refused.retry_after_seconds > 0
        assert set(table.started_by_ticket) == running
        assert len(table.queue) == len(waiting)
        assert len(running) <= max(table.capacity, before)
        assert not waiting or len(running) >= table.capacity

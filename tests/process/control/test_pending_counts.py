"""Counts of waiting jobs for any number of callers."""

from collections.abc import Iterator

from wasabiturn.process.control.batch.pending_counts import (
    MAX_AGE_MS,
    PendingCounts,
)


class Jobs:
    """Queues of the jobs that wait, and how often they were listed."""

    def __init__(self, *queues: str) -> None:
        self.queues = list(queues)
        self.passes = 0

    def list_queues(self) -> Iterator[str]:
        self.passes += 1
        yield from self.queues


def test_many_callers_cost_one_pass() -> None:
    jobs = Jobs('a', 'b', 'a')
    counts = PendingCounts()
    for now_ms in range(MAX_AGE_MS):
        assert counts.find('a', now_ms, jobs.list_queues) == 2
        assert counts.find('b', now_ms, jobs.list_queues) == 1
        assert counts.find('none', now_ms, jobs.list_queues) == 0
    assert jobs.passes == 1


def test_a_count_is_renewed_before_it_is_too_old() -> None:
    jobs = Jobs('a')
    counts = PendingCounts()
    counts.find('a', 1000, jobs.list_queues)
    jobs.queues.append('a')
    assert counts.find('a', 1000 + MAX_AGE_MS, jobs.list_queues) == 2


def test_a_count_is_renewed_when_the_clock_went_back() -> None:
    jobs = Jobs('a')
    counts = PendingCounts()
    counts.find('a', 1000, jobs.list_queues)
    jobs.queues.clear()
    assert counts.find('a', 10, jobs.list_queues) == 0

"""Log lines at a bounded rate."""

from typing import Any

from twisted.internet.task import Clock

from wasabiturn.utils.tally_log import LINE_SECONDS, MAX_KEYS, TallyLog


class FakeLog:
    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def event(self, sentence: str, **fields: Any) -> None:
        self.lines.append(fields)


def test_what_happens_often_has_one_line_with_its_number() -> None:
    log: Any = FakeLog()
    clock = Clock()
    tally_log = TallyLog(log, 'refuses', clock)
    for _ in range(100):
        tally_log.record('a', job='j')
    tally_log.record('b', job='j')
    assert log.lines == [{'count': 1, 'job': 'j'}] * 2
    clock.advance(LINE_SECONDS)
    tally_log.record('a', job='k')
    assert log.lines[2:] == [{'count': 100, 'job': 'k'}]


def test_keys_are_forgotten() -> None:
    log: Any = FakeLog()
    clock = Clock()
    tally_log = TallyLog(log, 'refuses', clock)
    for number in range(10 * MAX_KEYS):
        tally_log.record(number)
        clock.advance(LINE_SECONDS)
    assert len(tally_log._tallies_by_key) <= MAX_KEYS + 1
    assert len(log.lines) == 10 * MAX_KEYS

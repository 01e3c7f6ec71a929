"""How likely crashes of workers are by chance, from those seen lately.

The crashes counted against a task may all have other causes. The more workers
crash without a known cause, the more likely that is: the rate of such crashes
times the span of working times in which a crash would have looked the same.
"""

from collections.abc import Iterable, Sequence

from wasabiturn.batch.crashes.crash import QUICK_SECONDS, Crash
from wasabiturn.batch.crashes.suspicions import SAME_TIME_MS

# Spans in which crashes are counted; the highest rate holds, as crashes come in
# bursts.
RATE_SPANS_SECONDS = (2.0, 10.0)
# Crashes of several workers within this time may have one cause.
BLOW_SECONDS = 0.1
# A crash counts as alike, or counts at all, if it comes at most half of this
# sooner or later after the start than the one before.
ALIKE_SPAN_SECONDS = 2 * QUICK_SECONDS
COUNTED_SPAN_SECONDS = 2 * SAME_TIME_MS / 1000
_MS = 1000


def chance_of_crashes(
    task: str, count: int, crashes: Sequence[Crash], workers: int, now: float
) -> float:
    """Return the chance that a suspect met its last crashes by chance.

    ``count`` crashes count. Those under an earlier leader are missing in
    ``crashes``, and taken for alike. The first made it a suspect.
    """
    rate = _chance_rate(task, crashes, workers, now)
    alike = min(_count_alike(task, count, crashes), count - 1)
    chance_of_alike = min(rate * ALIKE_SPAN_SECONDS, 1)
    chance_of_others = min(rate * COUNTED_SPAN_SECONDS, 1)
    return chance_of_alike**alike * chance_of_others ** (count - 1 - alike)


def _count_alike(task: str, count: int, crashes: Sequence[Crash]) -> int:
    """Return how many crashes came as long after a start as the newest one.

    Only those of which the task was the only suspect, outside of a blow.
    """
    own = [
        (suspicion.worked_ms, _is_clear(crash, crashes))
        for crash in crashes
        for suspicion in crash.suspects
        if suspicion.task == task
    ][-count:]
    alike = [
        is_clear
        for worked_ms, is_clear in own
        if abs(worked_ms - own[-1][0]) <= QUICK_SECONDS * _MS
    ]
    missing = count - len(own)
    return missing + min(sum(alike), max(len(alike) - 1, 0))


def _is_clear(crash: Crash, crashes: Iterable[Crash]) -> bool:
    return bool(crash.culprit) and not _is_in_blow(crash, crashes)


def _chance_rate(
    task: str, crashes: Sequence[Crash], workers: int, now: float
) -> float:
    """Return how often a worker crashes for no known cause, per second.

    Crashes that a task is suspected of don't tell of other causes.
    """
    recent = [
        each for each in crashes if each.at > now - max(RATE_SPANS_SECONDS)
    ]
    known = {each.culprit for each in recent if _is_repeated(each)} | {task}
    unexplained = [each for each in recent if not _has_suspect(each, known)]
    return max(
        sum(each.at > now - seconds for each in unexplained)
        / seconds
        / max(workers, 1)
        for seconds in RATE_SPANS_SECONDS
    )


def _is_repeated(crash: Crash) -> bool:
    """Return whether a task that was alone crashed its worker as before."""
    return bool(crash.culprit) and crash.suspects[0].is_alike


def _is_in_blow(crash: Crash, crashes: Iterable[Crash]) -> bool:
    return any(
        other is not crash and abs(other.at - crash.at) <= BLOW_SECONDS
        for other in crashes
    )


def _has_suspect(crash: Crash, tasks: set[str]) -> bool:
    return any(each.task in tasks for each in crash.suspects)

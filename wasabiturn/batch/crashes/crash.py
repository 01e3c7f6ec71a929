"""Which tasks a crash of their worker may be due to.

A task may crash each worker that starts it. After a crash the *suspects* are
the runs that had not yet worked for long enough to be *proven*, including those
whose start may have begun without an answer. If all runs were proven, the crash
counts against each, as a task may also crash its worker late. Conclusions from
silence alone are no crash, and what crashed may also be the machine: a task is
given up for crashes of workers on several machines.
"""

from typing import final

import attrs

from wasabiturn.batch.crashes.proofs import MAX_BLAMED_SECONDS, is_proven
from wasabiturn.batch.fleet import Allocation, Worker
from wasabiturn.messages.kinds import CrashRole

# A crash so soon after a start is hardly chance.
QUICK_SECONDS = 0.05
# A list in a report was taken this long before it arrives, at most.
LIST_AGE_SECONDS = 2.0
# An agent that was heard within this time reports a crash at once.
REPORT_INTERVAL_SECONDS = 1.5
_MS = 1000
# The end of a run is stored with its working time in 32 bits, one of them for
# the sign: 25 days. A lasting run may work for longer under one leader.
WORKED_MS_BITS = 31
MAX_WORKED_MS = (1 << WORKED_MS_BITS) - 1


@final
@attrs.frozen
class Suspicion:
    """A run that may have crashed its worker.

    It had worked for ``worked_ms``. ``crashes_before`` counted against its task
    before; ``is_alike`` tells that the newest of them came as long after its
    start.
    """

    task: str
    run: int
    worked_ms: int
    crashes_before: int
    is_alike: bool


@final
@attrs.frozen
class Crash:
    """Crash of a worker; its suspects come oldest start first.

    ``culprit`` is a task that already was a suspect and the only one there, or
    empty. ``is_quick`` tells that the crash came right after its start,
    ``is_shared`` that suspects were started together on the worker.
    """

    worker: str
    data_centre: str
    at: float
    suspects: tuple[Suspicion, ...]
    bystanders: tuple[str, ...]
    culprit: str
    is_quick: bool
    is_shared: bool = False


def judge_crash(
    worker: Worker, heard_at: float, now: float, *, is_shared: bool = False
) -> Crash:
    """Record the role of each run in the crash of its worker.

    ``heard_at`` is when the agent was heard before it told of the crash,
    ``is_shared`` whether suspects were started there together.
    """
    worker.crashed_at = now
    crashed_at = now
    if heard_at < now - REPORT_INTERVAL_SECONDS:
        crashed_at = heard_at
    allocations = [
        each
        for each in worker.allocations_by_task.values()
        if each.is_confirmed or _is_possible(each)
    ]
    suspects = [each for each in allocations if not is_proven(each, crashed_at)]
    culprit = _find_culprit(worker, suspects)
    for allocation in allocations:
        allocation.crash_role = _find_role(
            allocation, suspects, culprit, crashed_at
        )
        allocation.worked_ms = _to_worked_ms(
            allocation.worked_seconds(crashed_at)
        )
    suspicions = tuple(_create_suspicion(each) for each in suspects)
    if culprit and suspects[0].task.crashes:
        suspects[0].worked_ms = _likeliest_worked_ms(suspects[0], heard_at, now)
    return Crash(
        worker=worker.name,
        data_centre=worker.report.data_centre,
        at=now,
        suspects=suspicions,
        bystanders=tuple(
            each.task.name
            for each in allocations
            if each.crash_role is CrashRole.bystander
        ),
        culprit=culprit,
        is_quick=_is_quick(suspects, crashed_at),
        is_shared=is_shared and len(suspects) > 1,
    )


def forget_crash(worker: Worker) -> None:
    """Withdraw the crash of an incarnation that still lists its runs."""
    worker.crashed_at = None
    for allocation in worker.allocations_by_task.values():
        allocation.crash_role = CrashRole.none


def _likeliest_worked_ms(
    allocation: Allocation, heard_at: float, now: float
) -> int:
    """Return the possible working time nearest to that of the crash before.

    A report may come late, and the start may have been noticed late.
    """
    lower_ms = _to_worked_ms(allocation.worked_seconds(heard_at))
    upper_ms = _to_worked_ms(now - allocation.started_at)
    worked_ms = max(allocation.task.worked_ms, lower_ms)
    if allocation.is_inherited:
        return worked_ms
    return min(worked_ms, upper_ms)


def _to_worked_ms(worked_seconds: float) -> int:
    return int(min(max(worked_seconds, 0) * _MS, MAX_WORKED_MS))


def _is_possible(allocation: Allocation) -> bool:
    """Return whether a run without confirmation may have crashed its worker.

    One of an earlier leader may have if that leader did not store that it had
    begun, which it does within moments.
    """
    task = allocation.task
    if allocation.is_inherited:
        return task.is_suspect or not task.is_known_to_have_begun
    return allocation.is_ordered


def _find_role(
    allocation: Allocation,
    suspects: list[Allocation],
    culprit: str,
    crashed_at: float,
) -> CrashRole:
    if not allocation.is_confirmed and not culprit:
        return CrashRole.possible
    if allocation in suspects:
        return CrashRole.suspect
    if suspects:
        return CrashRole.none
    if allocation.worked_seconds(crashed_at) >= MAX_BLAMED_SECONDS:
        return CrashRole.none
    return CrashRole.bystander


def _find_culprit(worker: Worker, suspects: list[Allocation]) -> str:
    if len(suspects) != 1 or _has_hardly_begun(worker, suspects[0]):
        return ''
    task = suspects[0].task
    return task.name if task.is_suspect else ''


def _has_hardly_begun(worker: Worker, allocation: Allocation) -> bool:
    """Return whether the worker listed no such run long after its order.

    The order may be carried out late, but hardly just when the worker crashes.
    """
    if allocation.is_confirmed:
        return False
    return worker.listed_at > allocation.started_at + LIST_AGE_SECONDS


def _create_suspicion(allocation: Allocation) -> Suspicion:
    task = allocation.task
    difference_ms = abs(allocation.worked_ms - task.worked_ms)
    return Suspicion(
        task=task.name,
        run=allocation.run,
        worked_ms=allocation.worked_ms,
        crashes_before=task.crashes,
        is_alike=task.crashes > 0 and difference_ms <= QUICK_SECONDS * _MS,
    )


def _is_quick(suspects: list[Allocation], crashed_at: float) -> bool:
    return bool(suspects) and all(
        each.is_confirmed and each.worked_seconds(crashed_at) <= QUICK_SECONDS
        for each in suspects
    )

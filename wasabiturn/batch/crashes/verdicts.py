"""Whether tasks are given up for the crashes of the workers that ran them.

A task is given up when workers on several machines crash while it is the only
suspect there, each as long after its start as the one before. Crashes of other
workers at the same time tell that the cause may be another one, so this verdict
waits a moment. A task that is suspected of many crashes is given up without.

Neither holds while workers crash so often, for no known cause, that the task
may have met its crashes by chance (``crashes/rates.py``): then it runs in
isolation once more.
"""

from collections.abc import Iterator
from typing import final

import attrs

from wasabiturn.batch.crashes.crash import Crash, Suspicion
from wasabiturn.batch.crashes.rates import chance_of_crashes
from wasabiturn.batch.crashes.suspicions import REPEATED_CRASHES
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import GiveUp
from wasabiturn.messages.kinds import BatchTaskState

# Crashes after which a task is given up if it is the only suspect of the newest
# one, which came as long after its start as the one before: at once, or later.
QUICK_CRASHES = 2
ALIKE_CRASHES = 3
# A machine that goes down again and again takes whatever runs there along.
MIN_MACHINES = 2
# Crashes after which a suspect is given up without such proof. Callers expect
# that it is started at most twice more after the third.
MAX_CRASHES = 5
# Crashes in one data centre within this time may have one cause.
COMMON_CAUSE_SECONDS = 0.5
# A task is given up only if it is less likely that it met all its crashes by
# chance.
MAX_CHANCE = 0.001
MAX_REMEMBERED_CRASHES = 500


@final
@attrs.define
class CrashLog:
    """Crashes that the leader has seen, and the suspects to decide on."""

    crashes: list[Crash] = attrs.field(factory=list)
    newest_by_task: dict[str, Crash] = attrs.field(factory=dict)
    undecided_by_task: dict[str, tuple[Crash, Suspicion]] = attrs.field(
        factory=dict
    )

    def record(self, crash: Crash) -> None:
        """Record a crash; its suspects are to be decided on."""
        self.crashes = [*self.crashes[-MAX_REMEMBERED_CRASHES:], crash]
        for suspicion in crash.suspects:
            self.newest_by_task[suspicion.task] = crash
            self.undecided_by_task[suspicion.task] = (crash, suspicion)

    def find_cleared(self, batch_state: BatchState, crash: Crash) -> list[str]:
        """Return the tasks that a crash clears of suspicion.

        They were suspected only of an earlier crash that is now put down to
        another task. To be called before the crash is recorded.
        """
        earlier = self.newest_by_task.get(crash.culprit)
        if earlier is None:
            return []
        others = [
            batch_state.suspects_by_name.get(suspicion.task)
            for suspicion in earlier.suspects
            if self.newest_by_task.get(suspicion.task) is earlier
            and suspicion.task != crash.culprit
        ]
        return [
            task.name
            for task in others
            if task is not None and task.crashes < REPEATED_CRASHES
        ]

    def decide(
        self, batch_state: BatchState, workers: int, now: float
    ) -> Iterator[GiveUp]:
        """Yield the tasks to give up; there are so many workers.

        To be called once the ends of the runs are recorded. Suspects that
        can't be decided on yet are kept.
        """
        for task_name, (crash, suspicion) in list(
            self.undecided_by_task.items()
        ):
            task = batch_state.tasks_by_name.get(task_name)
            if task is not None and self._must_wait(
                task, crash, suspicion, now
            ):
                continue
            self.undecided_by_task.pop(task_name)
            reason = self._find_reason(task, crash, suspicion)
            if reason and not self._may_be_chance(task, workers, now):
                yield GiveUp(task=task_name, reason=reason)

    def list_workers(self, task: str) -> list[str]:
        """Return the crashed workers of which a task was a suspect."""
        return [
            crash.worker
            for crash in self.crashes
            if any(each.task == task for each in crash.suspects)
        ]

    def forget_unsuspected(self, batch_state: BatchState) -> None:
        """Forget the crashes of tasks that are no suspects any more."""
        if len(self.newest_by_task) > MAX_REMEMBERED_CRASHES:
            self.newest_by_task = {
                task: crash
                for task, crash in self.newest_by_task.items()
                if task in batch_state.suspects_by_name
                or task in self.undecided_by_task
            }

    def _must_wait(
        self, task: Task, crash: Crash, suspicion: Suspicion, now: float
    ) -> bool:
        if task.run != suspicion.run:
            return False
        if task.state is BatchTaskState.active:
            # Its run may still begin on the next incarnation of the worker.
            return True
        is_over = now >= crash.at + COMMON_CAUSE_SECONDS
        if is_over or task.crashes >= MAX_CRASHES:
            return False
        return task.crashes == _enough_crashes(task, crash, suspicion)

    def _find_reason(
        self, task: Task | None, crash: Crash, suspicion: Suspicion
    ) -> str:
        """Return why a task is given up, empty if it is not."""
        if task is None or task.run != suspicion.run:
            return ''
        if task.crashes <= suspicion.crashes_before:
            # Its run had not begun.
            return ''
        if crash.is_shared:
            # Most of those that were started together are sound.
            return ''
        if task.crashes >= MAX_CRASHES:
            return f'suspected of {task.crashes} crashes of workers'
        excess = task.crashes - _enough_crashes(task, crash, suspicion)
        if excess < 0 or (not excess and self._has_common_cause(crash)):
            return ''
        return f'the only suspect of the newest of {task.crashes} crashes'

    def _may_be_chance(
        self, task: Task | None, workers: int, now: float
    ) -> bool:
        """Return whether the crashes of a task may well have other causes."""
        if task is None:
            return False
        chance = chance_of_crashes(
            task.name, task.crashes, self.crashes, workers, now
        )
        return chance > MAX_CHANCE

    def _has_common_cause(self, crash: Crash) -> bool:
        return any(
            other is not crash
            and not other.culprit
            and other.data_centre == crash.data_centre
            and abs(other.at - crash.at) <= COMMON_CAUSE_SECONDS
            for other in self.crashes
        )


def _enough_crashes(task: Task, crash: Crash, suspicion: Suspicion) -> int:
    """Return the number of crashes after which a task is given up.

    A lasting task, which meets more crashes of other causes, is given one more.
    """
    if task.name != crash.culprit or task.late_crashes:
        # What crashes a worker at once would not have worked on another.
        return MAX_CRASHES
    if not suspicion.is_alike or len(task.crash_agents) < MIN_MACHINES:
        return MAX_CRASHES
    enough = QUICK_CRASHES if crash.is_quick else ALIKE_CRASHES
    return enough + int(task.step.lasting)

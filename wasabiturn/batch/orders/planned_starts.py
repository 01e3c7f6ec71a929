"""Starts that the leader has planned and has not committed yet.

They are applied to its working copy of the state only, where they take room. A
start is committed once its agent has shown that it is there, and is ordered
after that. So the committed state has no start whose offer a dark machine never
got, and a new leader takes none of these for one that may be carried out.

The end of another run of the task revokes a planned start first, so that the
working copy goes the way of the committed state.
"""

from collections.abc import Iterable
from typing import final

import attrs

from wasabiturn.batch.fleet import Allocation, Fleet
from wasabiturn.batch.orders.offers import takes_offers
from wasabiturn.batch.orders.order_limits import first_limit, keeps_limits
from wasabiturn.batch.state.apply import apply_batch_change
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Job, Task
from wasabiturn.batch.state.run_ends import requeue_task
from wasabiturn.messages.batch import BatchChange, StartRun
from wasabiturn.messages.kinds import JobState


@final
@attrs.frozen
class NewestRun:
    """What a task has of its newest run, to be restored."""

    run: int
    worker: str
    born_ms: int
    agent: str
    is_bound: bool
    bound_until_ms: int
    is_settled: bool
    orders_end_ms: int
    has_overdue_order: bool
    order_limit_ms: int


@final
@attrs.frozen
class PlannedStart:
    """A planned start, and what it has replaced in the working copy."""

    start: StartRun
    task: Task
    before: NewestRun
    # Time of the loop; None if the task was not bound.
    bound_until: float | None
    was_lost_under_way: bool


@final
@attrs.define
class PlannedStarts:
    """The planned starts of one leader term, by the name of the task."""

    _batch_state: BatchState
    _fleet: Fleet
    _planned_by_task: dict[str, PlannedStart] = attrs.field(
        factory=dict, init=False
    )
    # Jobs of which no start is committed.
    _queued_job_ids: set[str] = attrs.field(factory=set, init=False)

    def plan(self, start: StartRun, now: float) -> bool:
        """Apply a start of a waiting task to the working copy.

        Returns whether it is to be offered; an agent that takes no offers is
        taken to be there.
        """
        task = self._batch_state.tasks_by_name[start.task]
        planned = PlannedStart(
            start=start,
            task=task,
            before=_read_newest_run(task),
            bound_until=self._fleet.bound_until_by_task.get(task.name),
            was_lost_under_way=task.name in self._fleet.tasks_lost_under_way,
        )
        if task.job.state is JobState.queued:
            self._queued_job_ids.add(task.job.job_id)
        apply_batch_change(self._batch_state, BatchChange(starts=[start]))
        self._planned_by_task[task.name] = planned
        worker = self._fleet.worker_of(task)
        allocation = self._find_allocation(planned)
        if worker is None or allocation is None:
            return False
        allocation.is_planned = True
        if not takes_offers(worker):
            allocation.received_at = now
        return not allocation.is_received

    def revoke(self, task_names: Iterable[str]) -> None:
        """Have tasks wait again as before, with their gangs."""
        for name in list(task_names):
            planned = self._planned_by_task.get(name)
            if planned is None:
                continue
            for member in self._list_gang(planned):
                self._revoke_one(member)

    def revoke_before(self, change: BatchChange) -> None:
        """Revoke the starts of tasks with runs that ``change`` ends."""
        if self._planned_by_task:
            self.revoke(end.task for end in change.ends)

    def revoke_unwanted(self) -> None:
        """Revoke starts that were withdrawn, or whose jobs have ended."""
        unwanted = [
            name
            for name, planned in self._planned_by_task.items()
            if self._is_unwanted(planned)
        ]
        self.revoke(unwanted)

    def revoke_partial_gangs(self) -> None:
        """Revoke starts of gangs that a plan has left in part."""
        partial = [
            name
            for name, planned in self._planned_by_task.items()
            if planned.task.step.gang and planned.task.part.waiting_by_name
        ]
        self.revoke(partial)

    def take_ready(self, clock_ms: int) -> list[StartRun]:
        """Return the starts to commit now, which are not planned any more.

        Those are the ones whose agents have them; of a gang, all or none.
        ``clock_ms`` is the time on the clock of the state.
        """
        self.revoke_unwanted()
        ready = list(filter(self._is_ready, self._planned_by_task.values()))
        return [self._take_one(planned, clock_ms) for planned in ready]

    def _take_one(self, planned: PlannedStart, clock_ms: int) -> StartRun:
        self._planned_by_task.pop(planned.task.name)
        self._queued_job_ids.discard(planned.task.job.job_id)
        allocation = self._find_allocation(planned)
        if allocation is not None:
            allocation.is_planned = False
        worker = self._fleet.worker_of(planned.task)
        if worker is not None and keeps_limits(worker):
            planned.start.order_limit_ms = first_limit(clock_ms)
            planned.task.order_limit_ms = planned.start.order_limit_ms
        return planned.start

    def _revoke_one(self, planned: PlannedStart) -> None:
        task = planned.task
        self._planned_by_task.pop(task.name)
        self._batch_state.end_run(task)
        _restore_newest_run(task, planned.before)
        if planned.bound_until is not None:
            self._fleet.bound_until_by_task[task.name] = planned.bound_until
        if planned.was_lost_under_way:
            self._fleet.tasks_lost_under_way.add(task.name)
        if task.job.is_final:
            self._batch_state.drop_task(task)
        else:
            requeue_task(task)
        self._restore_job(task.job)

    def _restore_job(self, job: Job) -> None:
        """Have a job without a start be queued again, or forget that it was."""
        others = self._planned_by_task.values()
        if any(planned.task.job is job for planned in others):
            return
        if job.job_id in self._queued_job_ids:
            self._queued_job_ids.discard(job.job_id)
            if not job.is_final:
                job.state = JobState.queued

    def _find_allocation(self, planned: PlannedStart) -> Allocation | None:
        worker = self._fleet.worker_of(planned.task)
        if worker is None:
            return None
        return worker.allocations_by_task.get(planned.task.name)

    def _list_gang(self, planned: PlannedStart) -> list[PlannedStart]:
        if not planned.task.step.gang:
            return [planned]
        return [
            other
            for other in self._planned_by_task.values()
            if other.task.part is planned.task.part
        ]

    def _is_unwanted(self, planned: PlannedStart) -> bool:
        allocation = self._find_allocation(planned)
        if allocation is None or allocation.is_stop_requested:
            return True
        return planned.task.job.is_final

    def _is_ready(self, planned: PlannedStart) -> bool:
        if planned.task.step.gang and planned.task.part.waiting_by_name:
            return False
        return all(map(self._is_received, self._list_gang(planned)))

    def _is_received(self, planned: PlannedStart) -> bool:
        allocation = self._find_allocation(planned)
        return allocation is not None and allocation.is_received


def _read_newest_run(task: Task) -> NewestRun:
    return NewestRun(
        **{
            field.name: getattr(task, field.name)
            for field in attrs.fields(NewestRun)
        }
    )


def _restore_newest_run(task: Task, before: NewestRun) -> None:
    for field in attrs.fields(NewestRun):
        setattr(task, field.name, getattr(before, field.name))

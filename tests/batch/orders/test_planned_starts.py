"""Starts that are applied to the leader's working copy before a commit."""

from random import Random

import pytest

from tests.batch.jobs_fakes import (
    accept,
    create_batch_state,
    create_fleet,
    create_worker,
    end,
    start,
    step,
)
from wasabiturn.batch import BatchState, apply_batch_change, dump_batch_state
from wasabiturn.batch.orders.planned_starts import PlannedStarts
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import BatchChange, EndRun, GiveUp, StartRun
from wasabiturn.messages.kinds import BatchTaskState, JobState, RunEnding

TASK = 'j.0.0.0'
WORKERS = ('v', 'w')
JOBS = (
    accept('a', step(3), step(2, after=[0]), attempts=2),
    accept('b', step(2, gang=True)),
    accept('c', step(2, lasting=True)),
    accept('d', step(1), attempts=1),
)


class Term:
    """Working copy of a leader, and the state that is committed."""

    def __init__(self, *changes: BatchChange) -> None:
        self.working = create_batch_state(*changes)
        self.committed = create_batch_state(*changes)
        self.fleet = create_fleet(*map(create_worker, WORKERS))
        for worker in self.fleet.workers_by_incarnation.values():
            worker.report.sends_receipts = True
        self.working.on_start = self._allocate
        self.working.on_end = self._release
        self.planned_starts = PlannedStarts(self.working, self.fleet)

    def _allocate(self, task: Task) -> None:
        worker = self.fleet.worker_of(task)
        assert worker is not None
        worker.allocate(task, now=0)
        worker.allocations_by_task[task.name].is_ordered = False
        if not task.is_bound:
            self.fleet.unbind(task.name)

    def _release(self, task: Task) -> None:
        worker = self.fleet.worker_of(task)
        assert worker is not None
        worker.release(task)

    def plan(self, task: str, run: int = 1, worker: str = 'w') -> None:
        self.planned_starts.plan(start(task, run, worker).starts[0], now=0)

    def receive(self, task: str) -> None:
        for worker in self.fleet.workers_by_incarnation.values():
            if task in worker.allocations_by_task:
                worker.allocations_by_task[task].received_at = 0

    def commit_ready(self) -> list[StartRun]:
        starts = self.planned_starts.take_ready(clock_ms=0)
        apply_batch_change(self.committed, BatchChange(starts=starts))
        return starts

    def apply(self, change: BatchChange) -> None:
        self.planned_starts.revoke_before(change)
        apply_batch_change(self.working, change)
        apply_batch_change(self.committed, change)


def dump(batch_state: BatchState) -> object:
    return dump_batch_state(batch_state)


def test_planned_start_takes_room_and_is_not_committed() -> None:
    term = Term(accept('j', step()))
    term.plan(TASK)
    assert term.working.tasks_by_name[TASK].state is BatchTaskState.active
    assert term.fleet.workers_by_incarnation['w', 1].memory_mb == 100
    assert term.commit_ready() == []
    assert term.committed.jobs_by_id['j'].state is JobState.queued


def test_start_is_committed_once_its_agent_has_it() -> None:
    term = Term(accept('j', step()))
    term.plan(TASK)
    term.receive(TASK)
    assert [each.task for each in term.commit_ready()] == [TASK]
    assert term.commit_ready() == []
    assert dump(term.working) == dump(term.committed)


def test_gang_is_committed_whole_or_not_at_all() -> None:
    term = Term(accept('j', step(2, gang=True)))
    term.plan('j.0.0.0')
    term.receive('j.0.0.0')
    assert term.commit_ready() == []
    term.plan('j.0.0.1', worker='v')
    assert term.commit_ready() == []
    term.receive('j.0.0.1')
    assert len(term.commit_ready()) == 2


def test_gang_is_revoked_whole() -> None:
    term = Term(accept('j', step(2, gang=True)))
    term.plan('j.0.0.0')
    term.plan('j.0.0.1', worker='v')
    term.planned_starts.revoke(['j.0.0.1'])
    assert not term.working.active_by_name
    assert dump(term.working) == dump(term.committed)


def test_revoked_start_leaves_its_task_bound_as_before() -> None:
    bound = EndRun(
        task=TASK, run=1, ending=RunEnding.lost, has_open_order=True, open_ms=9
    )
    term = Term(
        accept('j', step(lasting=True)), start(TASK), BatchChange(ends=[bound])
    )
    term.fleet.bound_until_by_task[TASK] = 15
    term.fleet.tasks_lost_under_way.add(TASK)
    term.plan(TASK, run=2, worker='v')
    term.planned_starts.revoke([TASK])
    assert term.fleet.bound_until_by_task == {TASK: 15}
    assert term.fleet.tasks_lost_under_way == {TASK}
    assert dump(term.working) == dump(term.committed)


def test_late_end_of_an_earlier_run_leaves_no_start_of_a_done_task() -> None:
    term = Term(
        accept('j', step()), start(TASK), end(TASK, ending=RunEnding.lost)
    )
    term.plan(TASK, run=2, worker='v')
    term.receive(TASK)
    term.apply(end(TASK, run=1))
    assert term.commit_ready() == []
    assert term.committed.jobs_by_id['j'].state is JobState.done
    assert term.fleet.workers_by_incarnation['v', 1].memory_mb == 0


def test_task_of_a_job_that_another_one_failed_is_not_started() -> None:
    term = Term(
        accept('j', step(2), attempts=1), start('j.0.0.0'), start('j.0.0.1')
    )
    term.apply(end('j.0.0.1', ending=RunEnding.lost))
    term.plan('j.0.0.1', run=2)
    term.receive('j.0.0.1')
    term.apply(end('j.0.0.0', ending=RunEnding.failed))
    assert term.commit_ready() == []
    assert not term.working.active_by_name


class RandomTerm(Term):
    """Plans, receipts, commits and changes in any order."""

    def __init__(self, seed: int) -> None:
        super().__init__(*JOBS)
        self.random = Random(seed)

    def play(self) -> None:
        actions = [
            self.plan_any,
            self.plan_any,
            self.receive_any,
            self.receive_any,
            self.commit_ready,
            self.end_any,
            self.end_any,
            self.revoke_any,
        ]
        for _ in range(60):
            self.random.choice(actions)()
            if self.random.random() < 0.02:
                self.close_any()
        self.planned_starts.revoke(list(self.working.tasks_by_name))

    def plan_any(self) -> None:
        parts = [
            part
            for job in self.working.open_jobs_by_id.values()
            for part in job.parts_by_key.values()
            if part.waiting_by_name and part.is_ready()
        ]
        if not parts:
            return
        part = self.random.choice(parts)
        tasks = part.open_tasks()
        if part.step.gang:
            if len(part.waiting_by_name) < len(tasks):
                return
            run = max(task.run for task in tasks) + 1
            for task in tasks:
                self.plan(task.name, run, self.random.choice(WORKERS))
            return
        task = self.random.choice(list(part.waiting_by_name.values()))
        self.plan(task.name, task.run + 1, self.random.choice(WORKERS))

    def receive_any(self) -> None:
        if self.working.active_by_name:
            self.receive(self.random.choice(list(self.working.active_by_name)))

    def revoke_any(self) -> None:
        if self.working.active_by_name:
            name = self.random.choice(list(self.working.active_by_name))
            self.planned_starts.revoke([name])

    def end_any(self) -> None:
        """End a committed run, the newest or an earlier one."""
        tasks = [
            task for task in self.committed.tasks_by_name.values() if task.run
        ]
        if not tasks:
            return
        task = self.random.choice(tasks)
        run = self.random.randint(1, task.run)
        self.apply(end(task.name, run, self.random.choice(list(RunEnding))))

    def close_any(self) -> None:
        job_id = self.random.choice('abcd')
        give_up = GiveUp(task=f'{job_id}.0.0.0')
        self.apply(
            self.random.choice(
                [BatchChange(cancels=[job_id]), BatchChange(give_ups=[give_up])]
            )
        )


@pytest.mark.parametrize('seed', range(100))
def test_working_copy_without_planned_starts_is_the_committed_state(
    seed: int,
) -> None:
    term = RandomTerm(seed)
    term.play()
    assert dump(term.working) == dump(term.committed)
    assert all(
        set(worker.allocations_by_task) <= set(term.committed.active_by_name)
        for worker in term.fleet.workers_by_incarnation.values()
    )

"""Tests of where suspects are placed, and what they keep others from."""

import pytest

from tests.batch.jobs_fakes import (
    accept,
    add_run,
    create_batch_state,
    create_fleet,
    create_worker,
    step,
)
from tests.batch.test_decisions import LASTING, NOW, plan
from wasabiturn.batch import BatchState, apply_batch_change
from wasabiturn.batch.crashes.proofs import PROOF_SECONDS, SLOW_PROOF_SECONDS
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.isolation.gangs import MAX_GANG_WAIT_SECONDS
from wasabiturn.batch.isolation.state import (
    MAX_TURN_SECONDS,
    MAX_WITHHELD_SECONDS,
)
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.messages.batch import BatchChange


def create_workers(count: int) -> list[Worker]:
    return [create_worker(f'w{number}') for number in range(count)]


def suspect(batch_state: BatchState, *names: str) -> None:
    for name in names:
        task = batch_state.tasks_by_name[name]
        task.run = 1
        task.crashes = 1
        batch_state.mark_suspect(task)


def later(seconds: float) -> Moment:
    return Moment(now=NOW.now + seconds, wall_ms=NOW.wall_ms)


def add_other_run(
    worker: Worker, job: str, worked_seconds: float | None
) -> None:
    batch_state = create_batch_state(accept(job, step(1)))
    task = batch_state.tasks_by_name[f'{job}.0.0.0']
    add_run(worker, task)
    if worked_seconds is not None:
        worker.allocations_by_task[task.name].confirm(NOW.now - worked_seconds)


def confirm(fleet: Fleet, task: str) -> None:
    for worker in fleet.workers_by_incarnation.values():
        if task in worker.allocations_by_task:
            worker.allocations_by_task[task].confirm(NOW.now)


def test_each_suspect_starts_alone_on_half_of_the_workers() -> None:
    batch_state = create_batch_state(accept('j', step(4)))
    suspect(batch_state, *[f'j.0.0.{index}' for index in range(4)])
    placed = plan(batch_state, create_fleet(*create_workers(4)))
    assert len(placed) == len(set(placed.values())) == 2


def test_suspect_starts_also_where_there_is_one_worker() -> None:
    batch_state = create_batch_state(accept('j', step(1)))
    suspect(batch_state, 'j.0.0.0')
    assert plan(batch_state, create_fleet(*create_workers(1)))


def test_nothing_starts_beside_a_suspect_until_it_is_proven() -> None:
    batch_state = create_batch_state(accept('j', step(1)))
    suspect(batch_state, 'j.0.0.0')
    fleet = create_fleet(*create_workers(2))
    (alone,) = plan(batch_state, fleet).values()
    confirm(fleet, 'j.0.0.0')
    apply_batch_change(batch_state, accept('k', step(4)))
    assert alone not in plan(batch_state, fleet).values()
    apply_batch_change(batch_state, accept('l', step(12)))
    placed = plan(batch_state, fleet, later(PROOF_SECONDS))
    assert alone in placed.values()


def test_suspect_goes_where_the_least_work_would_be_lost() -> None:
    workers = create_workers(3)
    add_other_run(workers[0], 'a', worked_seconds=9)
    add_other_run(workers[1], 'b', worked_seconds=None)
    workers[0].allocations_by_task['a.0.0.0'].started_at = -9
    add_other_run(workers[2], 'c', worked_seconds=2)
    workers[2].allocations_by_task['c.0.0.0'].started_at = -2
    batch_state = create_batch_state(accept('j', step(1)))
    suspect(batch_state, 'j.0.0.0')
    placed = plan(batch_state, create_fleet(*workers))
    assert placed == {'j.0.0.0': 'w2'}


def test_worker_is_reserved_until_its_runs_are_proven() -> None:
    workers = create_workers(2)
    for worker in workers:
        add_other_run(worker, f'of-{worker.name}', worked_seconds=0)
    batch_state = create_batch_state(accept('j', step(1)))
    suspect(batch_state, 'j.0.0.0')
    fleet = create_fleet(*workers)
    assert not plan(batch_state, fleet)
    ((reserved, _),) = fleet.isolation.reserved
    apply_batch_change(batch_state, accept('k', step(2)))
    placed = plan(batch_state, fleet, later(0.1))
    assert placed.keys() == {'k.0.0.0', 'k.0.0.1'}
    assert reserved not in placed.values()
    placed = plan(batch_state, fleet, later(PROOF_SECONDS))
    assert placed == {'j.0.0.0': reserved}


def test_waiting_suspect_holds_up_no_task_of_its_step() -> None:
    workers = create_workers(2)
    for worker in workers:
        add_other_run(worker, f'of-{worker.name}', worked_seconds=0)
    batch_state = create_batch_state(accept('j', step(3)), accept('k', step(1)))
    suspect(batch_state, 'j.0.0.0')
    placed = plan(batch_state, create_fleet(*workers))
    assert placed.keys() == {'j.0.0.1', 'j.0.0.2', 'k.0.0.0'}


def test_suspect_that_is_to_be_decided_on_waits() -> None:
    batch_state = create_batch_state(accept('j', step(1)))
    suspect(batch_state, 'j.0.0.0')
    fleet = create_fleet(*create_workers(2))
    fleet.isolation.held_tasks = {'j.0.0.0'}
    assert not plan(batch_state, fleet)


def test_newest_start_is_tried_first() -> None:
    batch_state = create_batch_state(accept('j', step(3)))
    names = [f'j.0.0.{index}' for index in range(3)]
    suspect(batch_state, *names)
    fleet = create_fleet(*create_workers(2))
    for position, name in enumerate(names):
        fleet.isolation.rank_by_task[name] = (1, position)
    assert list(plan(batch_state, fleet)) == ['j.0.0.2']


def test_suspect_respects_what_its_step_requires() -> None:
    wanted = step(1, required_label='special')
    batch_state = create_batch_state(accept('j', wanted))
    suspect(batch_state, 'j.0.0.0')
    workers = [*create_workers(2), create_worker('s', labels=['special'])]
    placed = plan(batch_state, create_fleet(*workers))
    assert placed == {'j.0.0.0': 's'}


def test_suspect_members_of_a_gang_start_on_workers_of_their_own() -> None:
    batch_state = create_batch_state(accept('j', step(5, gang=True)))
    suspect(batch_state, 'j.0.0.0', 'j.0.0.1')
    placed = plan(batch_state, create_fleet(*create_workers(4)))
    assert len(placed) == 5
    alone = {placed['j.0.0.0'], placed['j.0.0.1']}
    others = {placed[f'j.0.0.{index}'] for index in (2, 3, 4)}
    assert len(alone) == 2
    assert not alone & others


def test_gang_that_finds_no_such_workers_starts_after_a_while() -> None:
    batch_state = create_batch_state(accept('j', step(2, gang=True)))
    suspect(batch_state, 'j.0.0.0', 'j.0.0.1')
    (worker,) = create_workers(1)
    fleet = create_fleet(worker)
    assert not plan(batch_state, fleet)
    worker.heard_at = NOW.now + MAX_GANG_WAIT_SECONDS
    assert len(plan(batch_state, fleet, later(MAX_GANG_WAIT_SECONDS))) == 2


def test_cleared_suspect_starts_beside_others() -> None:
    batch_state = create_batch_state(accept('j', step(2)))
    suspect(batch_state, 'j.0.0.0', 'j.0.0.1')
    apply_batch_change(batch_state, BatchChange(cleared=['j.0.0.0', 'j.0.0.1']))
    placed = plan(batch_state, create_fleet(*create_workers(1)))
    assert len(placed) == 2


def test_no_worker_is_reserved_for_a_suspect_that_fits_none() -> None:
    wanted = step(2, required_label='special')
    batch_state = create_batch_state(accept('j', wanted))
    suspect(batch_state, 'j.0.0.0', 'j.0.0.1')
    fleet = create_fleet(*create_workers(4))
    assert not plan(batch_state, fleet)
    assert not fleet.isolation.reserved


def test_worker_that_a_suspect_requires_is_the_one_reserved() -> None:
    workers = [*create_workers(3), create_worker('s', labels=['special'])]
    add_other_run(workers[3], 'a', worked_seconds=0)
    batch_state = create_batch_state(
        accept('j', step(1, required_label='special', millicores=9500))
    )
    suspect(batch_state, 'j.0.0.0')
    fleet = create_fleet(*workers)
    assert not plan(batch_state, fleet)
    assert fleet.isolation.reserved == {('s', 1)}


def test_worker_that_a_suspect_is_bound_to_is_the_one_reserved() -> None:
    workers = create_workers(4)
    add_other_run(workers[3], 'a', worked_seconds=0)
    batch_state = create_batch_state(accept('j', step(1)))
    suspect(batch_state, 'j.0.0.0')
    batch_state.tasks_by_name['j.0.0.0'].worker = 'w3'
    fleet = create_fleet(*workers)
    fleet.bound_until_by_task['j.0.0.0'] = NOW.now + 20
    assert not plan(batch_state, fleet)
    assert fleet.isolation.reserved == {('w3', 1)}


def test_suspect_starts_on_another_machine_than_the_one_that_crashed() -> None:
    """A machine that goes down again and again takes any task along."""
    batch_state = create_batch_state(accept('j', step(1)))
    flapping, other = create_workers(2)
    flapping.agent, other.agent = 'a0', 'a1'
    add_other_run(other, 'o', worked_seconds=PROOF_SECONDS)
    suspect(batch_state, 'j.0.0.0')
    batch_state.tasks_by_name['j.0.0.0'].crash_agents = ['a0']
    begun = plan(batch_state, create_fleet(flapping, other))
    assert begun == {'j.0.0.0': other.name}


def create_fleet_with_room_at_one(count: int) -> Fleet:
    """Create workers of which only the last has room for a lasting task."""
    workers = create_workers(count)
    for worker in workers[:-1]:
        name = f'of-{worker.name}'
        batch_state = create_batch_state(
            accept(name, step(1, lasting=True, millicores=9000))
        )
        add_run(worker, batch_state.tasks_by_name[f'{name}.0.0.0'])
        allocation = worker.allocations_by_task[f'{name}.0.0.0']
        allocation.confirm(NOW.now - 60)
    return create_fleet(*workers)


def start_of_lasting_task(
    batch_state: BatchState, fleet: Fleet, seconds: float
) -> float | None:
    """Plan each 0.1 s; return when the lasting task starts, if it does."""
    for tenths in range(round(seconds * 10)):
        now = NOW.now + tenths / 10
        for worker in fleet.workers_by_incarnation.values():
            worker.heard_at = now
            for allocation in worker.allocations_by_task.values():
                if allocation.confirmed_at is None:
                    allocation.confirm(now)
        if 'l.0.0.0' in plan(batch_state, fleet, later(now - NOW.now)):
            return now - NOW.now
    return None


@pytest.mark.parametrize(('tasks', 'crashes'), [(9, 2), (30, 1)])
def test_suspects_in_turn_leave_room_to_a_lasting_task(
    tasks: int, crashes: int
) -> None:
    fleet = create_fleet_with_room_at_one(5)
    batch_state = create_batch_state(
        accept('j', step(tasks, millicores=100)), accept('l', LASTING)
    )
    suspect(batch_state, *[f'j.0.0.{index}' for index in range(tasks)])
    for task in batch_state.suspects_by_name.values():
        task.crashes = crashes
    begun = start_of_lasting_task(batch_state, fleet, seconds=20)
    assert begun is not None
    assert begun <= MAX_WITHHELD_SECONDS + SLOW_PROOF_SECONDS


def test_lasting_task_never_starts_beside_a_suspect_that_is_tried() -> None:
    fleet = create_fleet_with_room_at_one(2)
    batch_state = create_batch_state(
        accept('j', step(1, millicores=100)), accept('l', LASTING)
    )
    suspect(batch_state, 'j.0.0.0')
    batch_state.tasks_by_name['j.0.0.0'].crashes = 2
    begun = start_of_lasting_task(batch_state, fleet, seconds=20)
    assert begun is not None
    assert begun >= SLOW_PROOF_SECONDS > MAX_WITHHELD_SECONDS


def suspect_lasting(tasks: int, crashes: int, job: str = 'j') -> BatchState:
    batch_state = create_batch_state(
        accept(job, step(tasks, lasting=True, millicores=100))
    )
    suspect(batch_state, *[f'{job}.0.0.{index}' for index in range(tasks)])
    for task in batch_state.suspects_by_name.values():
        task.crashes = crashes
    return batch_state


def play_starts(
    batch_state: BatchState, fleet: Fleet, seconds: float
) -> dict[str, float]:
    """Plan each 0.1 s; return when each task starts, and confirm its run."""
    begun: dict[str, float] = {}
    for tenths in range(round(seconds * 10)):
        now = NOW.now + tenths / 10
        for worker in fleet.workers_by_incarnation.values():
            worker.heard_at = now
            for allocation in worker.allocations_by_task.values():
                if allocation.confirmed_at is None:
                    allocation.confirm(now)
        for task in plan(batch_state, fleet, later(now - NOW.now)):
            begun[task] = now - NOW.now
    return begun


@pytest.mark.parametrize(('tasks', 'crashes'), [(5, 2), (30, 1)])
def test_lasting_suspects_do_not_wait_for_many_turns(
    tasks: int, crashes: int
) -> None:
    batch_state = suspect_lasting(tasks, crashes)
    begun = play_starts(batch_state, create_fleet(*create_workers(2)), 20)
    assert len(begun) == tasks
    assert max(begun.values()) <= MAX_TURN_SECONDS + SLOW_PROOF_SECONDS


def test_first_of_many_lasting_suspects_is_tried_alone() -> None:
    batch_state = suspect_lasting(5, crashes=2)
    begun = play_starts(batch_state, create_fleet(*create_workers(2)), 20)
    first, second, *_ = sorted(begun.values())
    assert second - first >= SLOW_PROOF_SECONDS > MAX_TURN_SECONDS


def test_lasting_suspects_share_no_worker_after_a_third_crash() -> None:
    batch_state = suspect_lasting(4, crashes=3)
    begun = play_starts(batch_state, create_fleet(*create_workers(8)), 20)
    placed = {name: batch_state.tasks_by_name[name].worker for name in begun}
    assert len(set(placed.values())) == len(placed) == 4


def test_lasting_suspects_share_no_worker_with_other_suspects() -> None:
    batch_state = suspect_lasting(2, crashes=2)
    apply_batch_change(batch_state, accept('k', step(1)))
    suspect(batch_state, 'k.0.0.0')
    begun = play_starts(batch_state, create_fleet(*create_workers(1)), 20)
    first, second, third = sorted(begun.values())
    assert second - first >= PROOF_SECONDS
    assert third - second >= PROOF_SECONDS


def test_lasting_suspects_without_a_worker_do_not_share_at_once() -> None:
    batch_state = suspect_lasting(4, crashes=2)
    workers = create_workers(2)
    for worker in workers:
        worker.is_gone = True
    fleet = create_fleet(*workers)
    assert not play_starts(batch_state, fleet, MAX_TURN_SECONDS + 1)
    for worker in workers:
        worker.is_gone = False
    assert len(plan(batch_state, fleet, later(MAX_TURN_SECONDS + 1))) == 1

"""Tests of who is blamed for the crash of a worker, and what follows."""

import pytest

from tests.batch.jobs_fakes import (
    accept,
    add_run,
    create_batch_state,
    create_worker,
    end,
    start,
    step,
)
from wasabiturn.batch import (
    BatchState,
    apply_batch_change,
    dump_batch_state,
    load_batch_state,
)
from wasabiturn.batch.crashes.crash import Crash, judge_crash
from wasabiturn.batch.crashes.proofs import (
    MAX_BLAMED_SECONDS,
    PROOF_SECONDS,
    SLOW_PROOF_SECONDS,
    find_acquitted,
)
from wasabiturn.batch.crashes.verdicts import (
    COMMON_CAUSE_SECONDS,
    MAX_CRASHES,
    MAX_REMEMBERED_CRASHES,
    CrashLog,
)
from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.orders.lost_runs import lost_end
from wasabiturn.messages.batch import (
    BatchChange,
    BatchDump,
    EndRun,
    GiveUp,
    TaskRecord,
)
from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.kinds import CrashRole, JobState, RunEnding

NOW = 100.0
QUICK = 0.01
TWO_MONTHS = 60 * 24 * 3600.0
WORKERS = 8


def create_state(tasks: int) -> BatchState:
    return create_batch_state(accept('j', step(tasks)))


def add_runs(
    worker: Worker, batch_state: BatchState, **worked_seconds: float
) -> None:
    """Add runs of tasks of ``j`` that were confirmed so long ago."""
    for name, seconds in worked_seconds.items():
        task = batch_state.tasks_by_name[f'j.0.0.{name[1:]}']
        add_run(worker, task)
        worker.allocations_by_task[task.name].confirm(NOW - seconds)


def judge(worker: Worker) -> tuple[Crash, dict[str, CrashRole]]:
    crash = judge_crash(worker, heard_at=NOW, now=NOW)
    roles = {
        name: allocation.crash_role
        for name, allocation in worker.allocations_by_task.items()
    }
    return crash, roles


def crash_end(task: str, role: CrashRole, run: int = 1) -> BatchChange:
    return BatchChange(
        ends=[EndRun(task=task, run=run, crash_role=role)],
    )


def count_crashes(batch_state: BatchState, crashes: int) -> None:
    for run in range(1, crashes + 1):
        begun = start('j.0.0.0', run, agent=f'a{run}')
        apply_batch_change(batch_state, begun)
        change = crash_end('j.0.0.0', CrashRole.suspect, run)
        apply_batch_change(batch_state, change)


def test_unproven_runs_are_the_suspects() -> None:
    batch_state, worker = create_state(2), create_worker('w')
    add_runs(worker, batch_state, t0=PROOF_SECONDS, t1=QUICK)
    _, roles = judge(worker)
    assert roles == {
        'j.0.0.0': CrashRole.none,
        'j.0.0.1': CrashRole.suspect,
    }


def test_runs_are_bystanders_if_all_are_proven() -> None:
    batch_state, worker = create_state(2), create_worker('w')
    add_runs(worker, batch_state, t0=PROOF_SECONDS, t1=MAX_BLAMED_SECONDS)
    _, roles = judge(worker)
    assert roles == {
        'j.0.0.0': CrashRole.bystander,
        'j.0.0.1': CrashRole.none,
    }


def test_end_of_a_run_that_has_worked_for_two_months_can_be_packed() -> None:
    batch_state, worker = create_state(1), create_worker('w')
    add_runs(worker, batch_state, t0=TWO_MONTHS)
    judge(worker)
    end_of_run = lost_end(worker.allocations_by_task['j.0.0.0'], NOW)
    assert unpack(EndRun, pack(end_of_run)) == end_of_run


def test_unanswered_start_is_a_possible_cause() -> None:
    batch_state, worker = create_state(2), create_worker('w')
    add_runs(worker, batch_state, t0=QUICK)
    add_run(worker, batch_state.tasks_by_name['j.0.0.1'])
    crash, roles = judge(worker)
    assert roles['j.0.0.1'] is CrashRole.possible
    assert len(crash.suspects) == 2


def test_start_that_was_not_ordered_is_no_cause() -> None:
    batch_state, worker = create_state(1), create_worker('w')
    add_run(worker, batch_state.tasks_by_name['j.0.0.0'])
    worker.allocations_by_task['j.0.0.0'].is_ordered = False
    crash, _ = judge(worker)
    assert not crash.suspects


@pytest.mark.parametrize(
    ('is_settled', 'orders_end_ms'), [(True, 0), (False, 5000)]
)
def test_run_that_began_under_an_earlier_leader_is_no_cause(
    is_settled: bool, orders_end_ms: int
) -> None:
    batch_state, worker = create_state(1), create_worker('w')
    task = batch_state.tasks_by_name['j.0.0.0']
    add_run(worker, task)
    task.is_settled = is_settled
    task.orders_end_ms = orders_end_ms
    worker.allocations_by_task['j.0.0.0'].is_inherited = True
    crash, _ = judge(worker)
    assert not crash.suspects


def test_run_that_an_earlier_leader_had_just_started_is_a_suspect() -> None:
    batch_state, worker = create_state(1), create_worker('w')
    add_run(worker, batch_state.tasks_by_name['j.0.0.0'])
    worker.allocations_by_task['j.0.0.0'].is_inherited = True
    crash, _ = judge(worker)
    assert [each.task for each in crash.suspects] == ['j.0.0.0']


def test_run_counts_as_proven_up_to_when_its_agent_was_heard() -> None:
    batch_state, worker = create_state(1), create_worker('w')
    add_runs(worker, batch_state, t0=5)
    crash = judge_crash(worker, heard_at=NOW - 4.9, now=NOW)
    assert len(crash.suspects) == 1


def test_repeated_crashes_take_a_longer_proof() -> None:
    batch_state, worker = create_state(1), create_worker('w')
    count_crashes(batch_state, 2)
    add_runs(worker, batch_state, t0=SLOW_PROOF_SECONDS - 0.1)
    crash, _ = judge(worker)
    assert crash.culprit == 'j.0.0.0'


@pytest.mark.parametrize(
    ('worked_seconds', 'crashes'),
    [(MAX_BLAMED_SECONDS - 0.1, 1), (MAX_BLAMED_SECONDS, 0)],
)
def test_crash_before_long_work_is_forgotten(
    worked_seconds: float, crashes: int
) -> None:
    batch_state, worker = create_state(1), create_worker('w')
    count_crashes(batch_state, 1)
    proven = BatchChange(cleared=['j.0.0.0'])
    apply_batch_change(batch_state, proven)
    add_runs(worker, batch_state, t0=worked_seconds)
    acquitted = BatchChange(cleared=find_acquitted(worker, NOW))
    apply_batch_change(batch_state, acquitted)
    assert batch_state.tasks_by_name['j.0.0.0'].crashes == crashes


def test_suspect_of_one_crash_is_not_acquitted() -> None:
    batch_state, worker = create_state(1), create_worker('w')
    count_crashes(batch_state, 1)
    add_runs(worker, batch_state, t0=MAX_BLAMED_SECONDS)
    assert not find_acquitted(worker, NOW)


def test_crashes_and_suspicion_survive_a_snapshot() -> None:
    batch_state = create_state(2)
    count_crashes(batch_state, 1)
    dump = unpack(BatchDump, pack(dump_batch_state(batch_state)))
    task = load_batch_state(dump).tasks_by_name['j.0.0.0']
    assert (task.crashes, task.is_suspect) == (1, True)
    assert 'j.0.0.0' in load_batch_state(dump).suspects_by_name


def test_record_without_crashes_loads() -> None:
    record = unpack(TaskRecord, pack(TaskRecord(name='j.0.0.0', run=1)))
    assert not record.crashes
    assert not record.is_suspect


def test_repeated_end_counts_once() -> None:
    batch_state = create_state(1)
    apply_batch_change(batch_state, start('j.0.0.0'))
    for _ in range(2):
        apply_batch_change(
            batch_state, crash_end('j.0.0.0', CrashRole.bystander)
        )
    assert batch_state.tasks_by_name['j.0.0.0'].crashes == 1


def test_run_that_ends_by_itself_ends_the_suspicion() -> None:
    batch_state = create_state(1)
    count_crashes(batch_state, 1)
    apply_batch_change(batch_state, start('j.0.0.0', 2))
    apply_batch_change(batch_state, end('j.0.0.0', 2, RunEnding.failed))
    assert not batch_state.suspects_by_name
    assert not batch_state.tasks_by_name['j.0.0.0'].crashes


def test_giving_up_a_task_fails_its_job_and_drops_its_tasks() -> None:
    batch_state = create_state(3)
    count_crashes(batch_state, 2)
    apply_batch_change(batch_state, start('j.0.0.1'))
    give_up = BatchChange(give_ups=[GiveUp(task='j.0.0.0', reason='r')])
    apply_batch_change(batch_state, give_up)
    assert batch_state.jobs_by_id['j'].state is JobState.failed
    assert set(batch_state.tasks_by_name) == {'j.0.0.1'}
    assert not batch_state.suspects_by_name


def crash_again(
    batch_state: BatchState, crash_log: CrashLog, worked_seconds: float = QUICK
) -> None:
    """Let a worker crash with the task alone, and record it."""
    task = batch_state.tasks_by_name['j.0.0.0']
    apply_batch_change(batch_state, start('j.0.0.0', task.run + 1))
    worker = create_worker('w')
    add_runs(worker, batch_state, t0=worked_seconds)
    crash, roles = judge(worker)
    crash_log.record(crash)
    apply_batch_change(
        batch_state, crash_end('j.0.0.0', roles['j.0.0.0'], task.run)
    )


def decide(
    batch_state: BatchState,
    crash_log: CrashLog,
    seconds: float,
    workers: int = WORKERS,
) -> list[str]:
    return [
        give_up.task
        for give_up in crash_log.decide(batch_state, workers, NOW + seconds)
    ]


def test_second_crash_alone_gives_a_task_up_after_a_moment() -> None:
    batch_state, crash_log = create_state(2), CrashLog()
    count_crashes(batch_state, 1)
    crash_again(batch_state, crash_log)
    assert not decide(batch_state, crash_log, 0)
    assert crash_log.undecided_by_task
    given_up = decide(batch_state, crash_log, COMMON_CAUSE_SECONDS)
    assert given_up == ['j.0.0.0']


def test_first_crash_gives_no_task_up() -> None:
    batch_state, crash_log = create_state(2), CrashLog()
    crash_again(batch_state, crash_log)
    assert not decide(batch_state, crash_log, COMMON_CAUSE_SECONDS)
    assert not crash_log.undecided_by_task


def test_crash_some_time_after_the_start_is_no_proof() -> None:
    batch_state, crash_log = create_state(2), CrashLog()
    count_crashes(batch_state, 1)
    crash_again(batch_state, crash_log, worked_seconds=0.4)
    assert not decide(batch_state, crash_log, COMMON_CAUSE_SECONDS)


@pytest.mark.parametrize(
    ('data_centre', 'workers', 'is_proof'),
    [('dc', 60, False), ('other', 60, True), ('other', 8, False)],
)
def test_crash_beside_another_one_is_no_proof(
    data_centre: str, workers: int, is_proof: bool
) -> None:
    batch_state, crash_log = create_state(2), CrashLog()
    count_crashes(batch_state, 1)
    crash_again(batch_state, crash_log)
    other = create_worker('o', data_centre=data_centre)
    add_runs(other, batch_state, t1=5)
    crash_log.record(judge(other)[0])
    given_up = decide(batch_state, crash_log, COMMON_CAUSE_SECONDS, workers)
    assert bool(given_up) is is_proof


def test_many_crashes_give_a_task_up_at_once() -> None:
    batch_state, crash_log = create_state(2), CrashLog()
    count_crashes(batch_state, MAX_CRASHES - 1)
    crash_again(batch_state, crash_log, worked_seconds=1)
    assert decide(batch_state, crash_log, 0) == ['j.0.0.0']


def test_culprit_clears_the_other_suspects_of_its_earlier_crash() -> None:
    batch_state, crash_log = create_state(3), CrashLog()
    worker = create_worker('w')
    for index in range(3):
        apply_batch_change(batch_state, start(f'j.0.0.{index}'))
    add_runs(worker, batch_state, t0=QUICK, t1=QUICK, t2=5)
    crash_log.record(judge(worker)[0])
    for index in range(2):
        change = crash_end(f'j.0.0.{index}', CrashRole.suspect)
        apply_batch_change(batch_state, change)
    apply_batch_change(batch_state, start('j.0.0.0', 2))
    alone = create_worker('a')
    add_runs(alone, batch_state, t0=QUICK)
    crash = judge(alone)[0]
    assert crash.culprit == 'j.0.0.0'
    assert crash_log.find_cleared(batch_state, crash) == ['j.0.0.1']


@pytest.mark.parametrize('is_inherited', [False, True])
def test_crash_that_is_timed_badly_keeps_the_count(is_inherited: bool) -> None:
    # Told 1.2 s late, or of a run that an earlier leader had started.
    batch_state, worker = create_state(1), create_worker('w')
    count_crashes(batch_state, 3)
    task = batch_state.tasks_by_name['j.0.0.0']
    task.worked_ms = 2600 if is_inherited else 220
    apply_batch_change(batch_state, start('j.0.0.0', 4))
    add_runs(worker, batch_state, t0=1.4)
    allocation = worker.allocations_by_task['j.0.0.0']
    allocation.is_inherited = is_inherited
    crash = judge_crash(worker, heard_at=NOW - 1.2, now=NOW)
    assert crash.culprit == 'j.0.0.0'
    assert not crash.suspects[0].is_alike
    apply_batch_change(
        batch_state, BatchChange(ends=[lost_end(allocation, NOW)])
    )
    assert task.crashes == 4


def test_forgotten_suspect_of_an_earlier_crash_is_passed_over() -> None:
    tasks = MAX_REMEMBERED_CRASHES + 1
    batch_state, crash_log = create_state(tasks), CrashLog()
    worker = create_worker('w')
    names = {f't{index}': QUICK for index in range(tasks)}
    add_runs(worker, batch_state, **names)
    crash_log.record(judge(worker)[0])
    crash_log.undecided_by_task.clear()
    batch_state.mark_suspect(batch_state.tasks_by_name['j.0.0.0'])
    crash_log.forget_unsuspected(batch_state)
    alone = create_worker('a')
    add_runs(alone, batch_state, t0=QUICK)
    crash = judge(alone)[0]
    assert crash.culprit == 'j.0.0.0'
    assert not crash_log.find_cleared(batch_state, crash)


def test_crashes_of_one_machine_alone_give_no_task_up() -> None:
    batch_state, crash_log = create_state(2), CrashLog()
    apply_batch_change(batch_state, start('j.0.0.0'))
    change = crash_end('j.0.0.0', CrashRole.suspect)
    apply_batch_change(batch_state, change)
    crash_again(batch_state, crash_log)
    assert batch_state.tasks_by_name['j.0.0.0'].crashes == 2
    assert not decide(batch_state, crash_log, COMMON_CAUSE_SECONDS)


@pytest.mark.parametrize(
    ('ordered_seconds', 'role'),
    [(0.5, CrashRole.suspect), (4.0, CrashRole.possible)],
)
def test_order_that_waits_unanswered_beside_lists_counts_no_crash(
    ordered_seconds: float, role: CrashRole
) -> None:
    batch_state, worker = create_state(1), create_worker('w')
    count_crashes(batch_state, 1)
    add_run(worker, batch_state.tasks_by_name['j.0.0.0'])
    allocation = worker.allocations_by_task['j.0.0.0']
    allocation.started_at = NOW - ordered_seconds
    worker.listed_at = NOW - 0.1
    assert judge(worker)[1] == {'j.0.0.0': role}


def test_machines_that_crashed_survive_a_snapshot() -> None:
    batch_state = create_state(1)
    count_crashes(batch_state, 2)
    dump = unpack(BatchDump, pack(dump_batch_state(batch_state)))
    task = load_batch_state(dump).tasks_by_name['j.0.0.0']
    assert task.crash_agents == ['a1', 'a2']

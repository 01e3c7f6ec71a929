"""Tests of tasks that wait for a place in their rack."""

from typing import Any

import pytest

from tests.batch.jobs_fakes import (
    ACCEPTED_MS,
    accept,
    create_batch_state,
    create_fleet,
    create_worker,
    step,
)
from tests.batch.test_decisions import plan
from wasabiturn.batch import BatchState, apply_batch_change
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.placing.locality.state import (
    EndedWait,
    IdleWait,
    LocalityState,
    LocalityTerms,
    WaitOutcome,
)
from wasabiturn.batch.placing.locality.wait_inputs import MAX_IDLE_WAIT_SECONDS
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.queueing.progress import MAX_IDLE_SECONDS
from wasabiturn.messages.batch import BatchChange, EndRun, Step
from wasabiturn.messages.kinds import RunEnding

FACTOR = 2.0
PLAN_SECONDS = 0.1


class Room:
    """A near worker that a run keeps busy, and a far one with room."""

    def __init__(
        self,
        *jobs: BatchChange,
        busy_ms: int = 1000,
        terms: LocalityTerms | None = None,
        far_fields: dict[str, Any] | None = None,
    ) -> None:
        """Start the run that fills the near worker at 0, then the jobs."""
        self.near = create_worker('near')
        self.far = create_worker('far', rack='r2', **(far_fields or {}))
        self.fleet = create_fleet(self.near, self.far)
        self.fleet.locality = LocalityState(
            terms or LocalityTerms(slowdown_factor=FACTOR)
        )
        busy = accept(
            'busy',
            step(
                1, millicores=10_000, estimate_ms=busy_ms, preferred_rack='r1'
            ),
        )
        self.batch_state = create_batch_state(busy)
        assert self.plan_at(0) == {'busy.0.0.0': 'near'}
        self.near.allocations_by_task['busy.0.0.0'].confirm(0)
        for job in jobs:
            apply_batch_change(self.batch_state, job)

    def plan_at(self, now: float) -> dict[str, str]:
        """Plan after reports of both workers."""
        self.hear(now)
        moment = Moment(now=now, wall_ms=ACCEPTED_MS + int(now * 1000))
        return plan(self.batch_state, self.fleet, moment)

    def plan_until(self, end: float, begin: float = 0) -> dict[str, float]:
        """Plan again and again; return when each task started."""
        started: dict[str, float] = {}
        for number in range(1 + round((end - begin) / PLAN_SECONDS)):
            now = begin + number * PLAN_SECONDS
            started.update(dict.fromkeys(self.plan_at(now), now))
        return started

    def hear(self, now: float) -> None:
        for worker in self.fleet.workers_by_incarnation.values():
            worker.heard_at = now
            worker.listed_at = now

    def end_busy(self) -> None:
        end_run(self.batch_state, self.near, 'busy.0.0.0')

    def take_ended(self) -> EndedWait:
        (ended,) = self.fleet.locality.take_ended()
        return ended


def end_run(batch_state: BatchState, worker: Worker, name: str) -> None:
    worker.release(batch_state.tasks_by_name[name])
    end = EndRun(task=name, run=1, ending=RunEnding.done)
    apply_batch_change(batch_state, BatchChange(ends=[end]))


def near_step(tasks: int = 1, **fields: Any) -> Step:
    return step(tasks, **({'preferred_rack': 'r1'} | fields))


def test_a_task_waits_for_its_rack_and_starts_there() -> None:
    room = Room(accept('j', near_step(estimate_ms=3000)))
    assert not room.plan_until(0.9)
    room.end_busy()
    assert room.plan_at(1.0) == {'j.0.0.0': 'near'}
    ended = room.take_ended()
    assert ended.outcome is WaitOutcome.near
    assert ended.waited_seconds == pytest.approx(0.9)
    assert ended.saved_seconds == pytest.approx(3)


def test_a_place_that_comes_late_is_not_waited_for() -> None:
    room = Room(accept('j', near_step()), busy_ms=5000)
    assert room.plan_at(0) == {'j.0.0.0': 'far'}


@pytest.mark.parametrize(
    'terms',
    [
        LocalityTerms(),
        LocalityTerms(slowdown_factor=1),
        LocalityTerms(slowdown_factor=FACTOR, is_enabled=False),
    ],
)
def test_without_a_factor_tasks_start_as_before(terms: LocalityTerms) -> None:
    room = Room(accept('j', near_step(estimate_ms=3000)), terms=terms)
    assert room.plan_at(0) == {'j.0.0.0': 'far'}
    plain = Room(accept('j', near_step(estimate_ms=3000)))
    plain.fleet.locality = LocalityState()
    assert plain.plan_at(0) == {'j.0.0.0': 'far'}


@pytest.mark.parametrize('fields', [{'lasting': True}, {'gang': True}])
def test_lasting_tasks_and_gangs_do_not_wait(fields: dict[str, Any]) -> None:
    room = Room(accept('j', near_step(estimate_ms=3000, **fields)))
    assert room.plan_at(0) == {'j.0.0.0': 'far'}


def test_a_job_that_runs_nothing_never_waits_beyond_its_limit() -> None:
    room = Room(accept('j', near_step(estimate_ms=60_000)), busy_ms=1200)
    started = room.plan_until(4)
    assert started['j.0.0.0'] < MAX_IDLE_SECONDS


def test_waits_of_a_job_that_runs_nothing_add_up_over_its_steps() -> None:
    """Guards against a wait of 2 s in each of many steps."""
    room = Room(accept('j', near_step(estimate_ms=60_000)))
    idle = IdleWait(room.batch_state.jobs_by_id['j'], MAX_IDLE_WAIT_SECONDS)
    room.fleet.locality.idle_by_job['j'] = idle
    assert room.plan_at(0) == {'j.0.0.0': 'far'}


def test_one_task_of_an_idle_job_starts_elsewhere_and_the_others_wait() -> None:
    step = near_step(3, estimate_ms=4000, millicores=3000)
    room = Room(accept('j', step), busy_ms=1800)
    started = room.plan_until(0.5)
    assert started == {'j.0.0.0': 0}
    room.near.heard_at = 0.5
    room.end_busy()
    assert room.plan_at(0.6) == {'j.0.0.1': 'near', 'j.0.0.2': 'near'}
    ended = room.take_ended()
    assert ended.outcome is WaitOutcome.idle
    assert (ended.near, ended.far) == (2, 1)


def test_other_tasks_take_the_place_that_is_waited_for() -> None:
    room = Room(
        accept('j', near_step(estimate_ms=3000)),
        accept('k', step(1, required_label='only')),
    )
    assert not room.plan_at(0)
    room.near.report.labels.append('only')
    room.end_busy()
    assert room.plan_at(0.1)['k.0.0.0'] == 'near'


def test_a_waiting_task_keeps_no_other_from_starting() -> None:
    """Guards against a waiting step that counts as a sign of no room."""
    room = Room(
        accept('j', near_step(estimate_ms=3000)),
        accept('k', step(1, estimate_ms=4000)),
    )
    assert room.plan_at(0) == {'k.0.0.0': 'far'}


def test_a_place_goes_to_the_task_that_gains_most() -> None:
    """The job with less work would come first in the order of jobs."""
    wide = {'millicores': 6000}
    room = Room(
        accept('j', near_step(estimate_ms=2000, **wide)),
        accept('k', near_step(estimate_ms=6000, **wide)),
    )
    assert room.plan_at(0.0) == {}
    assert len(room.fleet.locality.waits_by_part) == 2
    room.end_busy()
    assert room.plan_at(0.1)['k.0.0.0'] == 'near'


def test_a_place_goes_to_a_job_that_it_makes_finish_in_time() -> None:
    wide = {'millicores': 6000}
    room = Room(
        accept('j', near_step(estimate_ms=3000, **wide)),
        accept(
            'k',
            near_step(2, estimate_ms=2000, **wide),
            accepted_ms=ACCEPTED_MS - 1000,
        ),
    )
    assert room.plan_at(0) == {'k.0.0.0': 'far'}
    room.end_busy()
    assert room.plan_at(0.1)['k.0.0.1'] == 'near'


def test_a_task_does_not_wait_for_a_place_that_another_takes() -> None:
    wide = {'millicores': 6000, 'estimate_ms': 3000}
    room = Room(
        accept('j', near_step(**wide)),
        accept('k', near_step(**wide)),
    )
    assert room.plan_at(0) == {'k.0.0.0': 'far'}


@pytest.mark.parametrize(
    'fields', [{'leaving': True}, {'data_centre': 'out'}, {'refuses': True}]
)
def test_a_rack_that_goes_away_ends_the_wait(fields: dict[str, Any]) -> None:
    room = Room(accept('j', near_step(estimate_ms=3000)))
    room.batch_state.out_data_centres.add('out')
    assert not room.plan_until(0.3)
    for field, content in fields.items():
        setattr(room.near.report, field, content)
    assert room.plan_at(0.4) == {'j.0.0.0': 'far'}
    assert room.take_ended().outcome is WaitOutcome.rack_lost


def test_a_silent_rack_ends_the_wait() -> None:
    room = Room(accept('j', near_step(estimate_ms=4000)))
    assert not room.plan_at(0)
    room.far.heard_at = 1.3
    moment = Moment(now=1.3, wall_ms=ACCEPTED_MS)
    assert plan(room.batch_state, room.fleet, moment) == {'j.0.0.0': 'far'}


@pytest.mark.parametrize('busy_ms', [100, 10_000])
def test_estimates_of_others_that_are_wrong_by_ten_bound_the_wait(
    busy_ms: int,
) -> None:
    """The run in the rack is held to take 1 s, or 100 times that."""
    job = accept('j', near_step(estimate_ms=1000))
    room = Room(job, busy_ms=busy_ms)
    started = room.plan_until(3)
    assert started['j.0.0.0'] <= (FACTOR - 1) * 1.0 + 2 * PLAN_SECONDS


def test_a_new_leader_does_not_wait_again() -> None:
    room = Room(accept('j', near_step(estimate_ms=3000)))
    assert not room.plan_until(0.5)
    locality = LocalityState(LocalityTerms(slowdown_factor=FACTOR))
    locality.use_up(room.batch_state.open_jobs_by_id.values())
    room.fleet.locality = locality
    assert room.plan_at(0.6) == {'j.0.0.0': 'far'}


def test_a_cancelled_job_ends_its_wait() -> None:
    room = Room(accept('j', near_step(estimate_ms=3000)))
    assert not room.plan_until(0.2)
    apply_batch_change(room.batch_state, BatchChange(cancels=['j']))
    assert room.take_ended().outcome is WaitOutcome.gone
    assert not room.fleet.locality.waits_by_part
    assert not room.fleet.locality.idle_by_job


def create_racks(free_by_rack: dict[str, int]) -> Fleet:
    """Return a fleet with one worker of so many cores in each rack."""
    fleet = create_fleet(
        *(
            create_worker(f'w{rack}', rack=rack, millicores=1000 * cores)
            for rack, cores in free_by_rack.items()
        )
    )
    fleet.locality = LocalityState(LocalityTerms(slowdown_factor=FACTOR))
    return fleet


def plan_group(tasks: int, free_by_rack: dict[str, int]) -> list[str]:
    """Return the workers of the tasks of a group that start at once."""
    group = step(tasks, same_rack=True, estimate_ms=1000)
    batch_state = create_batch_state(accept('j', group))
    return sorted(plan(batch_state, create_racks(free_by_rack)).values())


def test_a_group_takes_one_rack_with_room_for_all() -> None:
    assert plan_group(4, {'r1': 3, 'r2': 5, 'r3': 3}) == ['wr2'] * 4


def test_a_group_runs_in_turns_if_that_beats_two_racks() -> None:
    assert plan_group(6, {'r1': 3, 'r2': 2}) == ['wr1'] * 3


def test_a_group_spreads_if_one_rack_takes_too_many_turns() -> None:
    workers = plan_group(6, {'r1': 2, 'r2': 2, 'r3': 2})
    assert workers == ['wr1', 'wr1', 'wr2', 'wr2', 'wr3', 'wr3']


def test_a_hot_rack_with_fifty_jobs_starts_them_all() -> None:
    """Guards against jobs that wait for each other in a hot rack."""
    jobs = [
        accept(f'j{number}', near_step(2, estimate_ms=1000, millicores=5000))
        for number in range(50)
    ]
    room = Room(
        *jobs, far_fields={'millicores': 1_000_000, 'memory_mb': 99_999}
    )
    room.end_busy()
    started = room.plan_until(MAX_IDLE_SECONDS)
    assert len(started) == 100
    near = room.near.allocations_by_task
    assert len(near) == 2

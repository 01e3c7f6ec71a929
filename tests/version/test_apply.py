"""Tests of commands: resource writes, tasks, teams and request ids."""

import pytest

from tests.version.resources import (
    configuration,
    delete,
    job,
    move,
    put,
    service,
    task_spec,
    team,
)
from wasabiturn.messages.kinds import Kind, OutcomeCode, TaskState
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.version import apply
from wasabiturn.version import state as state_module
from wasabiturn.version.apply import apply_command
from wasabiturn.version.state import State, changes_since, create_state


def apply_commands(state: State, *commands: Command) -> list[Outcome]:
    return [apply_command(state, command).outcome for command in commands]


def get_task_states(state: State) -> dict[str, TaskState]:
    tasks = state.resources_by_kind[Kind.task]
    return {name: task_spec(state, name).state for name in tasks}


def test_exactly_one_concurrent_write_at_a_revision_succeeds() -> None:
    state = create_state()
    first, second, third = apply_commands(
        state,
        put(configuration('a'), expected=0),
        put(configuration('b'), expected=0),
        put(configuration('c'), expected=1),
    )
    assert first.code is OutcomeCode.ok
    assert second.code is OutcomeCode.conflict
    assert second.resource == first.resource
    assert third.revision == 2


def test_identical_write_changes_nothing() -> None:
    state = create_state()
    apply_commands(state, put(configuration('a')))
    effect = apply_command(state, put(configuration('a')))
    assert effect.changes == ()
    assert effect.outcome.revision == 1


def test_repeated_request_id_returns_the_first_outcome() -> None:
    state = create_state()
    resent = put(configuration('a'), expected=0, request_id='r-1')
    first, _, again = apply_commands(
        state, resent, put(configuration('b')), resent
    )
    assert again == first
    assert state.revision == 2


def test_request_id_reused_for_another_command_is_refused() -> None:
    state = create_state()
    apply_commands(state, put(configuration('a'), request_id='r-1'))
    (refused,) = apply_commands(
        state, put(configuration('b'), request_id='r-1')
    )
    assert (refused.code, refused.field) == (
        OutcomeCode.invalid,
        'Request-Id',
    )


def test_stored_request_ids_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(apply, 'REQUEST_ID_LIMIT', 2)
    state = create_state()
    for number in range(3):
        apply_commands(state, put(configuration('a'), request_id=f'r-{number}'))
    assert list(state.outcomes_by_request_id) == ['r-1', 'r-2']


def test_job_creates_its_tasks_in_one_command() -> None:
    state = create_state()
    effect = apply_command(state, put(job(2)))
    assert [change.resource.name for change in effect.changes] == [
        'plots',
        'plots.0',
        'plots.1',
    ]
    assert [change.revision for change in effect.changes] == [1, 2, 3]


def test_cancelled_job_stops_running_and_keeps_finished_tasks() -> None:
    state = create_state()
    apply_commands(state, put(job(3)))
    apply_commands(state, move(state, 'plots.0', TaskState.running))
    apply_commands(state, move(state, 'plots.1', TaskState.finished))
    apply_commands(state, put(job(3, cancelled=True)))
    assert get_task_states(state) == {
        'plots.0': TaskState.stopping,
        'plots.1': TaskState.finished,
        'plots.2': TaskState.cancelled,
    }
    (resumed,) = apply_commands(state, put(job(3)))
    assert (resumed.code, resumed.field) == (OutcomeCode.invalid, 'cancelled')


def test_name_of_deleted_job_is_reserved_until_its_tasks_stop() -> None:
    state = create_state()
    apply_commands(state, put(job(2)))
    apply_commands(state, move(state, 'plots.0', TaskState.running))
    apply_commands(state, delete(Kind.job, 'plots'))
    assert get_task_states(state) == {'plots.0': TaskState.stopping}
    (early,) = apply_commands(state, put(job(2)))
    assert early.code is OutcomeCode.conflict
    last_attempt = task_spec(state, 'plots.0').attempt
    apply_commands(state, move(state, 'plots.0', TaskState.cancelled))
    assert not get_task_states(state)
    apply_commands(state, put(job(2)))
    assert task_spec(state, 'plots.0').attempt > last_attempt


def test_service_scales_down_and_up_again() -> None:
    state = create_state()
    apply_commands(state, put(service(2)))
    apply_commands(state, move(state, 'desk.1', TaskState.running))
    apply_commands(state, put(service(1)))
    assert get_task_states(state)['desk.1'] is TaskState.stopping
    apply_commands(state, put(service(2)))
    attempt = task_spec(state, 'desk.1').attempt
    apply_commands(state, move(state, 'desk.1', TaskState.cancelled))
    assert get_task_states(state)['desk.1'] is TaskState.waiting
    assert task_spec(state, 'desk.1').attempt > attempt


def test_transition_from_another_attempt_or_state_is_refused() -> None:
    state = create_state()
    apply_commands(state, put(job(1)))
    start = move(state, 'plots.0', TaskState.assigned)
    first, again = apply_commands(state, start, start)
    assert first.codes == [OutcomeCode.ok]
    assert again.codes == [OutcomeCode.conflict]


def test_services_of_a_team_are_limited_by_its_quota() -> None:
    state = create_state()
    accepted, refused, unknown = apply_commands(
        state,
        put(team('print', cores=4)),
        put(service(3, team='print')),
        put(service(1, team='paint')),
    )
    assert accepted.code is OutcomeCode.ok
    assert (refused.code, refused.field) == (OutcomeCode.quota, 'size.cores')
    assert unknown.field == 'team'
    apply_commands(state, put(service(2, team='print')))
    (kept,) = apply_commands(state, delete(Kind.team, 'print'))
    assert kept.code is OutcomeCode.conflict


def test_writer_of_another_team_is_refused() -> None:
    state = create_state()
    apply_commands(state, put(service(1)))
    (refused,) = apply_commands(state, put(service(2), actor_team='print'))
    assert refused.code is OutcomeCode.forbidden


def test_service_and_job_do_not_share_a_name() -> None:
    state = create_state()
    other = job(1)
    other.name = 'desk'
    _, refused = apply_commands(state, put(service(0)), put(other))
    assert (refused.code, refused.field) == (OutcomeCode.conflict, 'name')


def test_unknown_commands_are_refused() -> None:
    state = create_state()
    outcomes = apply_commands(state, Command(), delete(Kind.task, 'plots.0'))
    assert {outcome.code for outcome in outcomes} == {OutcomeCode.invalid}


def test_changes_since_a_compacted_revision_are_unavailable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = create_state()
    state.history = type(state.history)(maxlen=2)
    for value in 'abc':
        apply_commands(state, put(configuration(value)))
    assert changes_since(state, 0) is None
    missed = changes_since(state, 1) or []
    assert [change.revision for change in missed] == [2, 3]
    assert changes_since(state, 9) == []
    assert state_module.HISTORY_LENGTH >= 1000

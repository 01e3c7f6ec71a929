"""Commands on the state machine: writes, tasks, teams, request ids."""

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


def run(state: State, *commands: Command) -> list[Outcome]:
    return [apply_command(state, command).outcome for command in commands]


def states(state: State) -> dict[str, TaskState]:
    tasks = state.resources_by_kind[Kind.task]
    return {name: task_spec(state, name).state for name in tasks}


def test_of_racing_writers_with_equal_revisions_exactly_one_wins() -> None:
    state = create_state()
    first, second, third = run(
        state,
        put(configuration('a'), expected=0),
        put(configuration('b'), expected=0),
        put(configuration('c'), expected=1),
    )
    assert first.code is OutcomeCode.ok
    assert second.code is OutcomeCode.conflict
    assert second.resource == first.resource
    assert third.revision == 2


def test_equal_write_changes_nothing() -> None:
    state = create_state()
    run(state, put(configuration('a')))
    effect = apply_command(state, put(configuration('a')))
    assert effect.changes == ()
    assert effect.outcome.revision == 1


def test_resend_gets_its_first_outcome() -> None:
    state = create_state()
    resent = put(configuration('a'), expected=0, request_id='r-1')
    first, _, again = run(state, resent, put(configuration('b')), resent)
    assert again == first
    assert state.revision == 2


def test_request_id_of_another_command_is_refused() -> None:
    state = create_state()
    run(state, put(configuration('a'), request_id='r-1'))
    (refused,) = run(state, put(configuration('b'), request_id='r-1'))
    assert (refused.code, refused.field) == (
        OutcomeCode.invalid,
        'Request-Id',
    )


def test_request_ids_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(apply, 'REQUEST_ID_LIMIT', 2)
    state = create_state()
    for number in range(3):
        run(state, put(configuration('a'), request_id=f'r-{number}'))
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


def test_cancelled_job_stops_what_runs_and_keeps_what_finished() -> None:
    state = create_state()
    run(state, put(job(3)))
    run(state, move(state, 'plots.0', TaskState.running))
    run(state, move(state, 'plots.1', TaskState.finished))
    run(state, put(job(3, cancelled=True)))
    assert states(state) == {
        'plots.0': TaskState.stopping,
        'plots.1': TaskState.finished,
        'plots.2': TaskState.cancelled,
    }
    (resumed,) = run(state, put(job(3)))
    assert (resumed.code, resumed.field) == (OutcomeCode.invalid, 'cancelled')


def test_deleted_job_keeps_its_name_until_its_tasks_have_stopped() -> None:
    state = create_state()
    run(state, put(job(2)))
    run(state, move(state, 'plots.0', TaskState.running))
    run(state, delete(Kind.job, 'plots'))
    assert states(state) == {'plots.0': TaskState.stopping}
    (early,) = run(state, put(job(2)))
    assert early.code is OutcomeCode.conflict
    last_attempt = task_spec(state, 'plots.0').attempt
    run(state, move(state, 'plots.0', TaskState.cancelled))
    assert not states(state)
    run(state, put(job(2)))
    assert task_spec(state, 'plots.0').attempt > last_attempt


def test_service_scales_down_and_up_again() -> None:
    state = create_state()
    run(state, put(service(2)))
    run(state, move(state, 'desk.1', TaskState.running))
    run(state, put(service(1)))
    assert states(state)['desk.1'] is TaskState.stopping
    run(state, put(service(2)))
    attempt = task_spec(state, 'desk.1').attempt
    run(state, move(state, 'desk.1', TaskState.cancelled))
    assert states(state)['desk.1'] is TaskState.waiting
    assert task_spec(state, 'desk.1').attempt > attempt


def test_transition_from_another_attempt_or_state_is_refused() -> None:
    state = create_state()
    run(state, put(job(1)))
    start = move(state, 'plots.0', TaskState.assigned)
    first, again = run(state, start, start)
    assert first.codes == [OutcomeCode.ok]
    assert again.codes == [OutcomeCode.conflict]


def test_services_of_a_team_fit_its_quota() -> None:
    state = create_state()
    accepted, refused, unknown = run(
        state,
        put(team('print', cores=4)),
        put(service(3, team='print')),
        put(service(1, team='paint')),
    )
    assert accepted.code is OutcomeCode.ok
    assert (refused.code, refused.field) == (OutcomeCode.quota, 'size.cores')
    assert unknown.field == 'team'
    run(state, put(service(2, team='print')))
    (kept,) = run(state, delete(Kind.team, 'print'))
    assert kept.code is OutcomeCode.conflict


def test_writer_of_another_team_is_refused() -> None:
    state = create_state()
    run(state, put(service(1)))
    (refused,) = run(state, put(service(2), actor_team='print'))
    assert refused.code is OutcomeCode.forbidden


def test_service_and_job_do_not_share_a_name() -> None:
    state = create_state()
    other = job(1)
    other.name = 'desk'
    _, refused = run(state, put(service(0)), put(other))
    assert (refused.code, refused.field) == (OutcomeCode.conflict, 'name')


def test_unknown_commands_are_refused() -> None:
    state = create_state()
    outcomes = run(state, Command(), delete(Kind.task, 'plots.0'))
    assert {outcome.code for outcome in outcomes} == {OutcomeCode.invalid}


def test_history_says_when_it_is_compacted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = create_state()
    state.history = type(state.history)(maxlen=2)
    for value in 'abc':
        run(state, put(configuration(value)))
    assert changes_since(state, 0) is None
    missed = changes_since(state, 1) or []
    assert [change.revision for change in missed] == [2, 3]
    assert changes_since(state, 9) == []
    assert state_module.HISTORY_LENGTH >= 1000

"""Random command sequences: replicas agree, also through a snapshot."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.version.resources import (
    answer,
    claim,
    configuration,
    delete,
    job,
    put,
    service,
    team,
)
from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.kinds import ClaimState, Kind, OutcomeCode, TaskState
from wasabiturn.messages.state import (
    Command,
    TaskSpec,
    TaskTransition,
    UpdateTasks,
)
from wasabiturn.version.apply import apply_command
from wasabiturn.version.persistence import dump_state, load_state
from wasabiturn.version.state import Effect, State, create_state

small = st.integers(0, 3)
expected = st.integers(-1, 6)
request_ids = st.sampled_from(['', '', 'r-1', 'r-2', 'r-3'])
resources = st.one_of(
    st.builds(configuration, st.sampled_from('abc')),
    st.builds(service, small, st.sampled_from(['default', 'print'])),
    st.builds(job, small, st.sampled_from(['default', 'print']), st.booleans()),
    st.builds(team, st.just('print'), st.floats(0, 8)),
)
transitions = st.builds(
    TaskTransition,
    task=st.sampled_from(['plots.0', 'plots.1', 'desk.0']),
    expected_attempt=st.integers(0, 6),
    expected_state=st.sampled_from(TaskState),
    task_spec=st.builds(
        TaskSpec,
        owner_kind=st.just(Kind.job),
        owner=st.just('plots'),
        number=small,
        state=st.sampled_from(TaskState),
        attempt=small,
    ),
)
commands = st.one_of(
    st.builds(put, resources, expected, request_ids, st.just('')),
    st.builds(
        delete,
        st.sampled_from([Kind.job, Kind.service, Kind.team]),
        st.sampled_from(['plots', 'desk', 'print']),
        expected,
    ),
    st.builds(
        lambda moves: Command(update_tasks=UpdateTasks(transitions=moves)),
        st.lists(transitions, max_size=3),
    ),
    st.builds(claim, st.sampled_from(['c-1', 'c-2']), st.sampled_from('fg')),
    st.builds(
        lambda claim_id, outcome: answer(claim_id, outcome=outcome),
        st.sampled_from(['c-1', 'c-2']),
        st.sampled_from(ClaimState),
    ),
)


def reload(command: Command) -> Command:
    return unpack(Command, pack(command))


def present_revision(state: State, command: Command) -> int:
    if command.put is None:
        return 0
    wanted = command.put.resource
    present = state.resources_by_kind[wanted.kind].get(wanted.name)
    return present.revision if present else 0


def check_conditional(command: Command, revision: int, effect: Effect) -> None:
    """Check that a write is accepted only at its expected revision."""
    if command.put is None or effect.outcome.code is not OutcomeCode.ok:
        return
    if effect.changes:
        assert command.put.expected_revision in {-1, revision}


@given(st.lists(commands, max_size=30), st.integers(0, 30))
@settings(max_examples=150, derandomize=True, deadline=None)
def test_replicas_agree_through_a_snapshot(
    run: list[Command],
    snapshot_at: int,
) -> None:
    leader = create_state()
    follower = create_state()
    for index, command in enumerate(run):
        if index == snapshot_at:
            follower = load_state(dump_state(follower))
        before = leader.revision
        present = present_revision(leader, command)
        left = apply_command(leader, reload(command))
        right = apply_command(follower, reload(command))
        assert left == right
        assert leader.revision == before + len(left.changes)
        check_conditional(command, present, left)
    assert dump_state(leader) == dump_state(follower)
    assert load_state(dump_state(leader)) == leader

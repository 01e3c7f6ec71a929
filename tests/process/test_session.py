"""Session of a process with the control group: view, freshness, calls."""

from random import Random
from typing import Any

import pytest

from tests.process.group import Group
from tests.process.network import Network
from tests.version.resources import claim, configuration, put
from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.messages.kinds import FailureCode, Kind, Method, Role
from wasabiturn.messages.link import Hello
from wasabiturn.messages.session import AgentRecord, Submit
from wasabiturn.messages.state import ClaimRecord, Outcome
from wasabiturn.process.session import ControlSession, create_control_session


def create_session(
    group: Group,
    name: str = 'entry-1',
    seed: int = 1,
) -> ControlSession:
    hello = Hello(name=name, role=Role.entry, protocol_version=1)
    session = create_control_session(
        endpoints=group.endpoints,
        dispatch=Dispatch(hello=hello),
        reactor=group.network,
        random=Random(seed),
        kinds=(Kind.configuration,),
        directory=True,
    )
    session.start()
    group.network.run(1)
    return session


def effective_value(session: ControlSession) -> str:
    configurations = session.view.resources_by_kind[Kind.configuration]
    spec = configurations['policy'].configuration_spec
    return spec.settings['value'] if spec else ''


def subscribed_port(session: ControlSession) -> int:
    link = session._current_link
    return int(link.peer.name.rpartition('-')[2]) if link else 0


def collect_result(call: Any) -> list[Any]:
    results: list[Any] = []
    call.addBoth(results.append)
    return results


def test_committed_configuration_reaches_the_view_at_once() -> None:
    group = Group(Network())
    session = create_session(group)
    group.commit(put(configuration('a')))
    group.network.run(0.1)
    assert effective_value(session) == 'a'
    assert session.is_fresh(group.network.seconds())


@pytest.mark.parametrize('seed', range(3))
def test_session_leaves_a_member_that_is_cut_off(seed: int) -> None:
    group = Group(Network())
    session = create_session(group)
    port = subscribed_port(session)
    group.leader = group.replicas[port % 3]
    group.replicas[port - 1].cut_off = True
    group.commit(put(configuration('a')))
    group.network.run(3)
    assert effective_value(session) == 'a'
    assert session.is_fresh(group.network.seconds())


def test_view_never_goes_back_to_a_lagging_member() -> None:
    group = Group(Network())
    session = create_session(group)
    port = subscribed_port(session)
    lagging = group.replicas[port % 3]
    group.leader = group.replicas[port - 1]
    group.commit(put(configuration('old')))
    lagging.cut_off = True
    group.commit(put(configuration('new')))
    group.network.run(0.5)
    assert effective_value(session) == 'new'
    for other in range(1, 4):
        if other - 1 != port % 3:
            group.network.stop_listening(other)
    group.network.run(4)
    assert effective_value(session) == 'new'
    assert session.view.revision == 2
    assert not session.is_fresh(group.network.seconds())


def test_restarted_process_ignores_the_state_of_a_lagging_member() -> None:
    group = Group(Network())
    group.commit(put(configuration('old')))
    group.replicas[2].cut_off = True
    group.commit(put(configuration('new')))
    group.network.blackholed_ports.update((1, 2))
    restarted = create_session(group)
    group.network.run(5)
    configurations = restarted.view.resources_by_kind[Kind.configuration]
    assert not configurations
    group.network.blackholed_ports.clear()
    group.network.run(3)
    assert effective_value(restarted) == 'new'
    assert restarted.is_fresh(group.network.seconds())


def test_process_without_control_is_not_fresh_after_three_seconds() -> None:
    group = Group(Network())
    session = create_session(group)
    group.network.blackholed_ports.update((1, 2, 3))
    group.network.run(3)
    assert not session.is_fresh(group.network.seconds())
    group.network.blackholed_ports.clear()
    group.network.run(3)
    assert session.is_fresh(group.network.seconds())


def test_freshness_counts_from_the_request() -> None:
    group = Group(Network())
    session = create_session(group)
    latest_request_at = group.network.seconds()
    group.network.advance(2.9)
    assert not session.is_fresh(latest_request_at + 2.9)


def test_changes_are_sent_after_the_member_installs_a_snapshot() -> None:
    group = Group(Network())
    session = create_session(group)
    port = subscribed_port(session)
    member = group.replicas[port - 1]
    group.leader = group.replicas[port % 3]
    member.cut_off = True
    group.commit(put(configuration('a')))
    member.cut_off = False
    member.install_snapshot()
    group.network.run(1)
    assert effective_value(session) == 'a'


def test_leader_call_follows_the_leader() -> None:
    group = Group(Network())
    session = create_session(group)
    for leader in group.replicas:
        group.leader = leader
        message = Submit(command=put(configuration(leader.name)))
        result = collect_result(
            session.call_leader(Method.submit, message, Outcome, 2.0),
        )
        group.network.run(1)
        assert isinstance(result[0], Outcome)
    assert effective_value(session) == 'control-3'


@pytest.mark.parametrize(
    ('loses_answers', 'code'),
    [(False, FailureCode.unavailable), (True, FailureCode.outcome_unknown)],
)
def test_leader_call_says_whether_it_may_have_run(
    loses_answers: bool,
    code: FailureCode,
) -> None:
    group = Group(Network())
    session = create_session(group)
    group.loses_answers = loses_answers
    if not loses_answers:
        group.leader = None
    message = Submit(command=put(configuration('a')))
    result = collect_result(
        session.call_leader(Method.submit, message, Outcome, 1.0)
    )
    group.network.run(1.5)
    error = result[0].value
    assert isinstance(error, CallError)
    assert error.code is code


def test_claims_of_two_entries_are_committed_together() -> None:
    group = Group(Network())
    session = create_session(group)
    calls = []
    for claim_id in ('c-1', 'c-2'):
        body = claim(claim_id).claim
        assert body is not None
        call = session.call_leader(
            Method.claim, body.claims[0], ClaimRecord, 2.0
        )
        calls.append(collect_result(call))
    group.network.run(1)
    first, second = (call[0] for call in calls)
    assert first == second
    assert first.claim.claim_id in {'c-1', 'c-2'}
    assert len(group.replicas[0].state.claims_by_key) == 1


def test_agents_reach_entries_without_a_quorum() -> None:
    group = Group(Network())
    group.leader = None
    agent = create_session(group, 'agent-1')
    record = AgentRecord(name='agent-1', incarnation='i', sequence=1)
    agent.announce(record)
    entry = create_session(group)
    group.network.run(3)
    assert list(entry.view.agents_by_name) == ['agent-1']
    agent.stop()
    group.network.run(4)
    assert not entry.view.agents_by_name


def test_restarted_member_does_not_empty_the_directory() -> None:
    group = Group(Network())
    agent = create_session(group, 'agent-1')
    agent.announce(AgentRecord(name='agent-1', incarnation='i', sequence=1))
    entry = create_session(group)
    port = subscribed_port(entry)
    directory = group.sessions[port - 1].directory
    directory.entries_by_name.clear()
    directory.started_at = group.network.seconds()
    agent_counts: list[int] = []
    entry.on_change.append(
        lambda: agent_counts.append(len(entry.view.agents_by_name)),
    )
    group.network.stop_listening(port)
    group.network.listen(port, group.dispatches[port - 1])
    group.network.run(5)
    assert 0 not in agent_counts
    assert list(entry.view.agents_by_name) == ['agent-1']


def test_sessions_rebalance_after_a_member_restarts() -> None:
    group = Group(Network())
    sessions = [create_session(group, seed=seed) for seed in range(12)]
    assert {subscribed_port(session) for session in sessions} == {1, 2, 3}
    group.network.stop_listening(2)
    group.network.run(2)
    assert {subscribed_port(session) for session in sessions} == {1, 3}
    group.network.listen(2, group.dispatches[1])
    view_changes: list[int] = []
    for session in sessions:
        session.on_change.append(lambda: view_changes.append(1))
    for _ in range(40):
        group.network.run(15)
        assert all(
            session.is_fresh(group.network.seconds()) for session in sessions
        )
    assert {subscribed_port(session) for session in sessions} == {1, 2, 3}
    assert not view_changes

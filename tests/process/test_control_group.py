"""Links of a process to a control group with changing members."""

from random import Random
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from tests.process.network import Network
from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.messages.batch import LeaderStatus, MemberList
from wasabiturn.messages.kinds import FailureCode, Method, Role
from wasabiturn.messages.link import Hello, Nothing
from wasabiturn.process.control_group import KEPT_LINKS, ControlGroup
from wasabiturn.process.member_directory import MemberDirectory

NAMES = ['m1', 'm2', 'm3', 'm4', 'm5']
RELAYS = ['e1', 'e2']
SEEDS = ('m1', 'm2', 'm3')
PORTS_BY_NAME = {
    name: 7000 + number for number, name in enumerate([*NAMES, *RELAYS])
}


def create_hello(name: str, role: Role) -> Hello:
    return Hello(name=name, role=role, protocol_version=PROTOCOL_VERSION)


class NamedNetwork(Network):
    """Network whose hosts are names of instances."""

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30
    ) -> Any:
        return super().connectTCP(
            host, PORTS_BY_NAME[host], factory, timeout=timeout
        )


class Group:
    """Members, relays, and one process that uses the group."""

    def __init__(self, seeds: tuple[str, ...], leader: str = 'm5') -> None:
        self.network = NamedNetwork()
        self.leader = leader
        self.answered_by: list[str] = []
        for name in NAMES:
            self.start(name)
        hello = create_hello('a1', Role.agent)
        self.client = ControlGroup(
            seeds, 7000, Dispatch(hello), self.network, Random(1)
        )
        self.client.start()

    def start(self, name: str, role: Role = Role.control) -> None:
        dispatch = Dispatch(create_hello(name, role))
        # A call that is never answered.
        dispatch.handle(Method.job, Nothing, lambda link, _: Deferred())
        dispatch.handle(
            Method.members, Nothing, lambda link, _: MemberList(names=NAMES)
        )
        if role is Role.control:
            dispatch.handle(
                Method.leader_status, Nothing, lambda link, _: self.lead(name)
            )
        self.network.listen(PORTS_BY_NAME[name], dispatch)

    def lead(self, name: str) -> LeaderStatus:
        if name != self.leader:
            raise CallError(FailureCode.not_leader, 'no', self.leader)
        self.answered_by.append(name)
        return LeaderStatus(is_configured=True)

    def call(self, seconds: float = 1.0) -> list[Any]:
        results: list[Any] = []
        called = self.client.calls.call(
            Method.leader_status, Nothing(), LeaderStatus, seconds
        )
        called.addCallbacks(results.append, lambda f: results.append(f.value))
        self.network.run(seconds)
        return results

    def linked_names(self) -> list[str]:
        return sorted(link.peer.name for link in self.client.open_links())


def test_a_process_keeps_links_to_the_leader_and_one_spare() -> None:
    group = Group(SEEDS)
    for _ in range(4):
        assert group.call() == [LeaderStatus(is_configured=True)]
    names = group.linked_names()
    assert 'm5' in names
    assert len(names) == KEPT_LINKS


def test_the_spare_names_the_new_leader_when_the_leader_is_lost() -> None:
    group = Group(SEEDS)
    group.call()
    group.network.run(3)
    group.network.stop_listening(PORTS_BY_NAME['m5'])
    group.leader = 'm4'
    assert group.call(0.4) == [LeaderStatus(is_configured=True)]
    assert group.answered_by[-1] == 'm4'


@pytest.mark.parametrize('cut_off', [('m1', 'm2'), ('m4', 'm5')])
def test_members_that_know_no_leader_are_left_for_others(
    cut_off: tuple[str, ...],
) -> None:
    """Both links may lead into the smaller half of a divided group."""
    group = Group(cut_off, leader='m5')
    group.call()
    leads = group.lead

    def lead_in_half(name: str) -> LeaderStatus:
        if name in cut_off:
            raise CallError(FailureCode.not_leader, 'knows no leader')
        return leads(name)

    group.lead = lead_in_half  # type: ignore[method-assign]
    group.leader = 'm3'
    assert group.call(3.0) == [LeaderStatus(is_configured=True)]


def test_members_are_found_through_an_instance_that_is_none() -> None:
    group = Group(('e1', 'e2'))
    for name in RELAYS:
        group.start(name, Role.entry)
    group.network.run(3)
    assert group.call() == [LeaderStatus(is_configured=True)]
    assert not {*group.linked_names()} & {*RELAYS}


def test_the_group_is_found_when_no_seed_knows_a_member_yet() -> None:
    """All instances restart, and the seeds are instances without a disk."""
    group = Group(('e1', 'e2'))
    for name in RELAYS:
        dispatch = Dispatch(create_hello(name, Role.entry))
        relay = ControlGroup(
            tuple(RELAYS), 7000, dispatch, group.network, Random(2)
        )
        MemberDirectory(relay, dispatch)
        group.network.listen(PORTS_BY_NAME[name], dispatch)
        relay.start()
    assert group.call()[0].code == FailureCode.unavailable
    for name in NAMES:
        dispatch = Dispatch(create_hello(name, Role.control))
        ControlGroup(
            tuple(RELAYS),
            7000,
            dispatch,
            group.network,
            Random(3),
            links_to_all=True,
        ).start()
    group.network.run(3)
    assert group.call() == [LeaderStatus(is_configured=True)]


def test_calls_are_never_sent_to_an_instance_that_is_no_member() -> None:
    group = Group(('e1',))
    group.start('e1', Role.entry)
    (error,) = group.call(0.1)
    assert error.code == FailureCode.unavailable


def test_new_seeds_are_dialled_when_all_links_are_lost() -> None:
    group = Group(('m1',))
    group.client.member_names = ['m1']
    group.network.stop_listening(PORTS_BY_NAME['m1'])
    group.client.set_seeds(('m2',))
    group.network.run(2)
    assert 'm2' in group.linked_names()


def test_links_are_not_closed_under_a_pending_call() -> None:
    group = Group(SEEDS)
    group.call()
    group.network.run(3)
    (spare,) = [
        link for link in group.client.open_links() if link.peer.name != 'm5'
    ]
    group.client.calls.leader = 'm5'
    for name in NAMES[:4]:
        group.client._dial(name)
    held = [link for link in group.client.open_links() if link is spare]
    waiting: Any = spare.call(Method.job, Nothing(), Nothing, 2.5)
    waiting.addErrback(lambda _: None)
    group.network.run(2)
    assert held == [spare]
    assert spare.is_open
    group.network.run(3)
    assert len(group.linked_names()) == KEPT_LINKS

"""What a process tells of a control group that it doesn't reach."""

from collections.abc import Iterator
from random import Random
from typing import Any

import pytest
from eliot import add_destinations, remove_destination
from twisted.internet.task import Clock

from tests.process.network import Network
from tests.process.test_control_group import (
    PORTS_BY_NAME,
    RELAYS,
    NamedNetwork,
    create_hello,
)
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.messages.batch import MemberList
from wasabiturn.messages.kinds import Method, Role
from wasabiturn.messages.link import Nothing
from wasabiturn.process import exposition
from wasabiturn.process.control_group import ControlGroup
from wasabiturn.process.group_gap import (
    MIN_LINE_INTERVAL_SECONDS,
    GroupGap,
    GroupGapReporter,
    find_contact_gap,
)
from wasabiturn.process.member_directory import MemberDirectory


class Source:
    """Changing gap, as a process finds it."""

    def __init__(self) -> None:
        self.gap: GroupGap | None = GroupGap('answers of seeds', ('e1',))

    def __call__(self) -> GroupGap | None:
        return self.gap


def start_reporter(source: Source) -> Clock:
    clock = Clock()
    GroupGapReporter(source, clock).start()
    return clock


def run(clock: Clock, seconds: float) -> None:
    clock.pump([0.25] * round(seconds * 4))


def read_gaps() -> list[str]:
    (family,) = exposition.group_gaps.collect()
    return [sample.labels['missing'] for sample in family.samples]


@pytest.fixture
def lines() -> Iterator[list[dict[str, Any]]]:
    collected: list[dict[str, Any]] = []
    add_destinations(collected.append)
    # The first destination also gets what was logged before.
    collected.clear()
    yield collected
    remove_destination(collected.append)


def test_what_is_missing_is_told_at_once_and_not_again(
    lines: list[dict[str, Any]],
) -> None:
    clock = start_reporter(Source())
    run(clock, 1)
    assert [line['missing'] for line in lines] == ['answers of seeds']
    assert lines[0]['instances'] == ('e1',)
    assert read_gaps() == ['answers of seeds']
    run(clock, 60)
    assert len(lines) == 1


def test_a_gap_that_changes_to_and_fro_makes_no_storm_of_lines(
    lines: list[dict[str, Any]],
) -> None:
    source = Source()
    clock = start_reporter(source)
    seconds = 60
    for number in range(seconds):
        source.gap = GroupGap('answers of members', (str(number % 2),))
        run(clock, 1)
    assert 1 < len(lines) <= seconds / MIN_LINE_INTERVAL_SECONDS + 1


def test_the_end_of_a_gap_is_told(lines: list[dict[str, Any]]) -> None:
    source = Source()
    clock = start_reporter(source)
    run(clock, 1)
    source.gap = None
    run(clock, 1)
    assert 'reached' in lines[-1]['text']
    assert read_gaps() == []


def create_client(network: Network) -> ControlGroup:
    client = ControlGroup(
        tuple(RELAYS),
        7000,
        Dispatch(create_hello('a1', Role.agent)),
        network,
        Random(1),
    )
    client.start()
    return client


def start_relays(network: Network) -> None:
    for name in RELAYS:
        dispatch = Dispatch(create_hello(name, Role.entry))
        relay = ControlGroup(tuple(RELAYS), 7000, dispatch, network, Random(2))
        MemberDirectory(relay, dispatch)
        network.listen(PORTS_BY_NAME[name], dispatch)
        relay.start()


def start_member(network: Network, name: str) -> None:
    dispatch = Dispatch(create_hello(name, Role.control))
    dispatch.handle(
        Method.members, Nothing, lambda link, _: MemberList(names=[])
    )
    network.listen(PORTS_BY_NAME[name], dispatch)
    ControlGroup(
        tuple(RELAYS), 7000, dispatch, network, Random(3), links_to_all=True
    ).start()


def test_a_process_tells_that_no_seed_answers() -> None:
    network = NamedNetwork()
    client = create_client(network)
    network.run(2)
    gap = find_contact_gap(client)
    assert gap == GroupGap('answers of seeds', tuple(RELAYS))


def test_a_process_tells_that_no_seed_knows_a_member() -> None:
    """All seeds are instances without a disk, and no other one runs."""
    network = NamedNetwork()
    start_relays(network)
    client = create_client(network)
    network.run(2)
    gap = find_contact_gap(client)
    assert gap is not None
    assert 'a member' in gap.missing
    start_member(network, 'm1')
    network.run(3)
    assert find_contact_gap(client) is None


@pytest.mark.parametrize('needs_all', [True, False])
def test_a_member_without_a_group_hears_the_lists_of_all_seeds(
    needs_all: bool,
) -> None:
    network = NamedNetwork()
    start_relays(network)
    dispatch = Dispatch(create_hello('m1', Role.control))
    group = ControlGroup(
        tuple(RELAYS), 7000, dispatch, network, Random(3), links_to_all=True
    )
    group.needs_all_lists = lambda: needs_all
    lists: list[tuple[list[str], str]] = []
    group.on_members.append(lambda *heard: lists.append(heard))
    group.start()
    network.run(3)
    own_lists = {lister for names, lister in lists if 'm1' in names}
    assert (own_lists == {*RELAYS}) is needs_all

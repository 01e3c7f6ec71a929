"""Open groups, which form from seeds with a fixed number of voters.

Other members join as learners.
"""

from random import Random

import pytest

from wasabiturn.messages.raft import Envelope, Introduce
from wasabiturn.version.raft import core, membership
from wasabiturn.version.raft.founding import Gap, Missing, find_gap
from wasabiturn.version.raft.membership import name_of
from wasabiturn.version.raft.state import GroupRules, RaftState, Recovered

STEP_SECONDS = 0.05


class OpenGroup:
    """Members with one clock; the only fault is that members are isolated."""

    def __init__(self, seeds: tuple[str, ...], voters: int = 3) -> None:
        self.now = 0.0
        self.seeds = seeds
        self.voters = voters
        self.members: dict[str, RaftState] = {}
        self.stored: dict[str, Recovered] = {}
        self.isolated: set[str] = set()
        self.memberless: frozenset[str] = frozenset()

    def add(
        self,
        name: str,
        incarnation: int = 1,
        may_found: bool = True,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.members[name] = core.create_raft(
            f'{name}/{incarnation}',
            seeds or self.seeds,
            Recovered(),
            Random(name),
            self.now,
            GroupRules(voters=self.voters, may_found=may_found),
        )

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for name, member in list(self.members.items()):
                if name not in self.isolated:
                    tick = core.Tick(memberless_names=self.memberless)
                    core.step(tick, member, self.now)
            while self._deliver():
                continue

    def leader(self) -> RaftState:
        (leader,) = (
            member
            for name, member in self.members.items()
            if member.leadership is not None and name not in self.isolated
        )
        return leader

    def voter_ids(self) -> set[str]:
        return set(membership.voters(self.leader()))

    def _deliver(self) -> bool:
        envelopes: list[tuple[str, Envelope]] = []
        for name, member in self.members.items():
            messages = core.take_effects(member).messages
            if name not in self.isolated:
                envelopes.extend((name, each) for each in messages)
        for _, envelope in envelopes:
            target = name_of(envelope.receiver)
            if target in self.members and target not in self.isolated:
                core.step(envelope, self.members[target], self.now)
        return bool(envelopes)


def create_formed_group(*others: str) -> OpenGroup:
    group = OpenGroup(seeds=('a', 'b', 'c'))
    for name in ('a', 'b', 'c', *others):
        group.add(name)
    group.run(5)
    return group


def test_a_group_forms_from_its_seeds() -> None:
    assert create_formed_group().voter_ids() == {'a/1', 'b/1', 'c/1'}


def test_others_join_as_learners() -> None:
    group = create_formed_group('d')
    assert group.voter_ids() == {'a/1', 'b/1', 'c/1'}
    ids = {
        each.member_id for each in membership.current(group.leader()).members
    }
    assert ids == {'a/1', 'b/1', 'c/1', 'd/1'}


def test_no_group_forms_if_no_seed_may_found() -> None:
    group = OpenGroup(seeds=('a', 'b', 'c'))
    for name in 'abc':
        group.add(name, may_found=False)
    group.run(5)
    assert not any(each.leadership for each in group.members.values())


@pytest.mark.parametrize('lost', ['a', 'b', 'c'])
def test_a_learner_replaces_a_silent_voter(lost: str) -> None:
    group = create_formed_group('d')
    group.isolated.add(lost)
    group.run(12)
    assert len(group.voter_ids()) == 3
    assert 'd/1' in group.voter_ids()
    assert f'{lost}/1' not in group.voter_ids()


def test_a_briefly_silent_voter_keeps_its_vote() -> None:
    group = create_formed_group('d')
    group.isolated.add('b')
    group.run(3)
    group.isolated.clear()
    group.run(5)
    assert group.voter_ids() == {'a/1', 'b/1', 'c/1'}


def test_a_replaced_voter_rejoins() -> None:
    group = create_formed_group('d')
    group.isolated.add('b')
    group.run(12)
    group.isolated.clear()
    group.run(5)
    ids = {
        each.member_id for each in membership.current(group.leader()).members
    }
    assert 'b/1' in ids
    assert len(group.voter_ids()) == 3


def test_a_member_with_an_empty_disk_votes_as_a_new_incarnation() -> None:
    group = create_formed_group()
    group.add('b', incarnation=2, may_found=False)
    group.run(8)
    assert group.voter_ids() == {'a/1', 'b/2', 'c/1'}


def test_a_new_member_joins_through_any_member() -> None:
    group = create_formed_group()
    leader = name_of(group.leader().member_id)
    other = next(name for name in 'abc' if name != leader)
    group.add('e', may_found=False, seeds=(other,))
    group.run(5)
    ids = {
        each.member_id for each in membership.current(group.leader()).members
    }
    assert 'e/1' in ids


def test_a_closed_group_ignores_unnamed_instances() -> None:
    member = core.create_raft('a/1', ('a', 'b'), Recovered(), Random(0), 0)
    introduction = Envelope(
        sender='x/1',
        receiver='a/',
        introduce=Introduce(),
    )
    core.step(introduction, member, 1)
    assert not member.introductions_by_name


def test_a_group_forms_when_a_seed_runs_no_member() -> None:
    """An instance without a disk may be among the seeds."""
    group = OpenGroup(seeds=('x', 'b', 'c'))
    for name in 'bcd':
        group.add(name)
    group.memberless = frozenset('x')
    group.run(5)
    assert group.voter_ids() == {'b/1', 'c/1', 'd/1'}


def test_no_group_forms_while_a_seed_has_not_answered() -> None:
    group = OpenGroup(seeds=('x', 'b', 'c'))
    for name in 'bcd':
        group.add(name)
    group.run(5)
    assert not any(each.leadership for each in group.members.values())


def test_a_member_finds_the_group_through_an_instance_that_runs_none() -> None:
    """All seeds may later be instances without a disk."""
    group = create_formed_group()
    group.memberless = frozenset('xy')
    group.add('d', may_found=False, seeds=('x', 'y'))
    group.run(2)
    assert 'd/1' not in str(membership.current(group.leader()))
    core.step(core.Contacts(('a', 'b', 'c')), group.members['d'], group.now)
    group.run(2)
    assert 'd/1' in str(membership.current(group.leader()))


def create_group_without_member_seeds(*names: str) -> OpenGroup:
    """Return members whose seeds, instances without a disk, list them all."""
    group = OpenGroup(seeds=('x', 'y', 'z'))
    group.memberless = frozenset('xyz')
    for name in names:
        group.add(name)
    return group


def list_members(group: OpenGroup, *names: str, seeds: str = 'xyz') -> None:
    for member in group.members.values():
        for seed in seeds:
            contacts = core.Contacts(names, lister=seed)
            core.step(contacts, member, group.now)


def count_leaders(group: OpenGroup) -> int:
    return sum(
        member.leadership is not None for member in group.members.values()
    )


def test_a_group_forms_when_no_seed_runs_a_member() -> None:
    group = create_group_without_member_seeds('d', 'e', 'f', 'g')
    group.run(0.5)
    list_members(group, 'd', 'e', 'f', 'g')
    group.run(3)
    assert group.voter_ids() == {'d/1', 'e/1', 'f/1'}


def test_a_single_member_founds_the_group_after_a_wait() -> None:
    """The others that the settings allow for may never come."""
    group = create_group_without_member_seeds('d')
    list_members(group, 'd')
    group.run(2)
    assert not count_leaders(group)
    group.run(3)
    assert group.voter_ids() == {'d/1'}


def test_later_members_join_a_group_that_one_has_founded() -> None:
    group = create_group_without_member_seeds('d')
    list_members(group, 'd')
    group.run(5)
    group.add('b')
    group.add('c')
    list_members(group, 'b', 'c', 'd')
    group.run(8)
    assert count_leaders(group) == 1
    assert group.voter_ids() == {'b/1', 'c/1', 'd/1'}


@pytest.mark.parametrize('seeds', ['', 'x', 'xy'])
def test_no_group_forms_before_each_seed_has_listed_its_members(
    seeds: str,
) -> None:
    """A member that only the silent seed knows may have founded a group."""
    group = create_group_without_member_seeds('d', 'e')
    list_members(group, 'd', 'e', seeds=seeds)
    group.run(6)
    assert not count_leaders(group)


def test_a_list_from_before_the_own_link_does_not_count() -> None:
    """Of two members, one at least must know the other."""
    group = create_group_without_member_seeds('d', 'e')
    list_members(group, 'e')
    group.run(6)
    assert not group.members['d'].ballot.cluster


def test_no_group_forms_while_a_listed_member_is_silent() -> None:
    group = create_group_without_member_seeds('d', 'e')
    list_members(group, 'c', 'd', 'e')
    group.run(6)
    assert not count_leaders(group)


@pytest.mark.parametrize('late_seconds', [0, 1, 2.9, 3, 3.1, 4, 6])
@pytest.mark.parametrize('names', ['de', 'ed'])
def test_two_members_that_start_apart_found_one_group(
    late_seconds: float, names: str
) -> None:
    """The earlier member was listed before the later one was known."""
    earlier, later = names
    group = create_group_without_member_seeds(earlier)
    list_members(group, earlier)
    group.run(late_seconds)
    group.add(later)
    later_member = {later: group.members[later]}
    known = group.members
    group.members = later_member
    list_members(group, earlier, later)
    group.members = known
    group.run(10)
    clusters = {member.ballot.cluster for member in known.values()}
    assert len(clusters) == 1
    assert count_leaders(group) == 1


@pytest.mark.parametrize(
    ('may_found', 'listed', 'gap'),
    [
        (False, 'de', Gap.permission),
        (True, '', Gap.lists),
        (True, 'cde', Gap.members),
        (True, 'bde', Gap.members),
        (True, 'd', Gap.wait),
    ],
)
def test_a_member_without_a_group_tells_what_is_missing(
    may_found: bool, listed: str, gap: Gap
) -> None:
    group = create_group_without_member_seeds()
    group.add('d', may_found=may_found)
    if listed:
        list_members(group, *listed)
    group.run(0.5)
    found = find_gap(group.members['d'], group.now)
    assert found is not None
    assert found.gap is gap


def test_a_member_tells_which_seeds_are_missing() -> None:
    group = create_group_without_member_seeds('d')
    group.memberless = frozenset('xz')
    group.run(0.5)
    found = find_gap(group.members['d'], group.now)
    assert found == Missing(Gap.seeds, ('y',))


def test_a_member_of_a_group_misses_nothing() -> None:
    group = create_formed_group()
    for member in group.members.values():
        assert find_gap(member, group.now) is None

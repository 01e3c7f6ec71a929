"""Each mechanism of consensus, and the fault that comes back without it."""

from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from random import Random
from typing import Any

import attrs
import pytest

from tests.version.raft.cluster import Cluster, Machine, run_random_faults
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import EntryKind
from wasabiturn.messages.raft import (
    AppendReply,
    Entry,
    Envelope,
    Member,
    Membership,
)
from wasabiturn.version.raft import (
    core,
    election,
    following,
    lease,
    replication,
    snapshots,
)
from wasabiturn.version.raft.state import Recovered
from wasabiturn.version.raft.timing import ELECTION_SECONDS, NEVER

Expectation = Callable[[], AbstractContextManager[Any]]


def broken(text: str) -> Expectation:
    return lambda: pytest.raises(AssertionError, match=text)


HOLDS: Expectation = nullcontext


@pytest.fixture
def cluster() -> Cluster:
    cluster = Cluster(3, Random(1))
    cluster.run(2)
    return cluster


def ranked(cluster: Cluster) -> list[Machine]:
    """Return the leader, then the others."""
    return sorted(
        cluster.machines,
        key=lambda each: each.raft is None or each.raft.leadership is None,
    )


def cut(cluster: Cluster, one: Machine, other: Machine) -> None:
    cluster.cuts |= {(one.name, other.name), (other.name, one.name)}


def campaign_soon(machine: Machine) -> None:
    """Draw the shortest election period."""
    assert machine.raft is not None
    machine.raft.election_at = 0


@pytest.mark.parametrize(
    ('protected', 'expectation'),
    [(True, HOLDS), (False, broken('two leases'))],
)
def test_voters_that_hear_a_leader_refuse_votes(
    cluster: Cluster,
    monkeypatch: pytest.MonkeyPatch,
    protected: bool,
    expectation: Expectation,
) -> None:
    leader, candidate, voter = ranked(cluster)
    cut(cluster, leader, candidate)
    cluster.run(0.9)
    campaign_soon(candidate)
    if not protected:
        monkeypatch.setattr(election, 'is_protected', lambda state, now: False)
    cut(cluster, leader, voter)
    with expectation():
        cluster.run(2)


@pytest.mark.parametrize(
    ('protected', 'expectation'),
    [(True, HOLDS), (False, broken('two leases'))],
)
def test_restarted_voter_refuses_votes_for_one_period(
    cluster: Cluster,
    protected: bool,
    expectation: Expectation,
) -> None:
    leader, candidate, voter = ranked(cluster)
    cut(cluster, leader, candidate)
    cluster.run(0.9)
    cut(cluster, leader, voter)
    cluster.run(0.1)
    campaign_soon(candidate)
    cluster.crash(voter)
    cluster.start(voter)
    assert voter.raft is not None
    if not protected:
        voter.raft.heard_leader_at = NEVER
    with expectation():
        cluster.run(2)


@pytest.mark.parametrize(
    ('lease_seconds', 'expectation'),
    [
        (lease.LEASE_SECONDS, HOLDS),
        (ELECTION_SECONDS * 1.6, broken('two leases')),
    ],
)
def test_lease_ends_before_the_next_election(
    monkeypatch: pytest.MonkeyPatch,
    lease_seconds: float,
    expectation: Expectation,
) -> None:
    monkeypatch.setattr(lease, 'LEASE_SECONDS', lease_seconds)
    with expectation():
        for seed in range(12):
            run_random_faults(seed, 3, episodes=6)


def test_lease_holds_under_the_greatest_drift() -> None:
    """Slow leader, fast followers: the lease ends first on a true clock."""
    drift = 0.05
    lease_ends_at = lease.LEASE_SECONDS / (1 - drift)
    votes_begin_at = ELECTION_SECONDS / (1 + drift)
    assert lease_ends_at <= votes_begin_at


def count_from_receipt(progress: Any, reply: Any) -> None:
    progress.acknowledged_sent_at = reply.sent_at + 0.5
    progress.stamp = reply.stamp
    progress.life = reply.life


def trust_any_message(state: Any, request: Any) -> None:
    if request.confirmed:
        state.fresh_as_of = state.heard_leader_at


def trust_any_life(state: Any, request: Any) -> None:
    if request.confirmed:
        state.fresh_as_of = max(state.fresh_as_of, request.echoed_stamp)


@pytest.mark.parametrize(
    ('module', 'name', 'replacement', 'text'),
    [
        (replication, 'note_contact', count_from_receipt, 'two leases'),
        (following, '_confirm', trust_any_message, 'stale but called fresh'),
    ],
)
def test_search_finds_the_fault_without_a_mechanism(
    monkeypatch: pytest.MonkeyPatch,
    module: Any,
    name: str,
    replacement: Any,
    text: str,
) -> None:
    monkeypatch.setattr(module, name, replacement)
    with pytest.raises(AssertionError, match=text):
        search_seeds(60)


@pytest.mark.parametrize(
    ('confirm', 'expectation'),
    [
        (following._confirm, HOLDS),
        (trust_any_life, broken('stale but called fresh')),
    ],
)
def test_stamp_of_an_earlier_life_confirms_nothing(
    cluster: Cluster,
    monkeypatch: pytest.MonkeyPatch,
    confirm: Any,
    expectation: Expectation,
) -> None:
    """A reboot sets a clock back, so old stamps lie in its future."""
    monkeypatch.setattr(following, '_confirm', confirm)
    leader, follower, _ = ranked(cluster)
    cluster.crash(follower)
    follower.offset -= 500
    cluster.start(follower)
    cluster.cuts.add((follower.name, leader.name))
    cluster.run(0.3)
    cut(cluster, leader, follower)
    cluster.submit(leader)
    with expectation():
        cluster.run(5)


def test_cut_off_member_raises_no_term(cluster: Cluster) -> None:
    leader, cut_off, other = ranked(cluster)
    assert leader.raft is not None
    term = leader.raft.ballot.term
    cut(cluster, cut_off, leader)
    cut(cluster, cut_off, other)
    cluster.run(30)
    cluster.heal()
    cluster.run(1)
    assert ranked(cluster)[0] is leader
    assert leader.raft.ballot.term == term


def test_cut_off_leader_steps_down(cluster: Cluster) -> None:
    leader, *others = ranked(cluster)
    for other in others:
        cut(cluster, leader, other)
    cluster.run(3)
    assert leader.raft is not None
    assert leader.raft.leadership is None
    assert ranked(cluster)[0] in others


def test_entry_of_an_older_term_commits_with_one_of_the_present() -> None:
    """Copies of an older entry do not commit it: it may yet be replaced."""
    raft = three_members()
    core.step(core.Tick(), raft, 10)
    for pre_vote in (True, False):
        grant(raft, pre_vote)
    assert raft.leadership is not None
    acknowledge(raft, 2)
    assert raft.commit_index == 0
    acknowledge(raft, 3)
    assert raft.commit_index == 3


def test_new_leader_holds_no_lease_before_its_first_entry() -> None:
    raft = three_members()
    core.step(core.Tick(), raft, 10)
    for pre_vote in (True, False):
        grant(raft, pre_vote)
    acknowledge(raft, 2)
    assert not lease.holds_lease(raft, 10.1)
    acknowledge(raft, 3)
    assert lease.holds_lease(raft, 10.1)


def test_snapshot_over_a_frame_goes_in_chunks(
    cluster: Cluster,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(snapshots, 'CHUNK_BYTES', 2)
    leader, laggard, _ = ranked(cluster)
    cluster.crash(laggard)
    for _ in range(9):
        cluster.submit(leader)
    cluster.run(1)
    cluster.take_snapshot(leader)
    cluster.loss = 0.3
    cluster.start(laggard)
    cluster.run(15)
    assert laggard.raft is not None
    assert laggard.raft.snapshot is not None
    assert laggard.applied == leader.applied


def test_lost_disk_in_a_row_loses_nothing() -> None:
    cluster = Cluster(3, Random(3))
    cluster.run(2)
    for machine in cluster.machines * 2:
        for each in cluster.machines:
            cluster.submit(each)
        cluster.run(0.5)
        assert cluster.may_lose_disk()
        cluster.lose_disk(machine)
        cluster.run(6)
    cluster.check_recovery()


def test_nothing_is_founded_beside_an_existing_cluster(
    cluster: Cluster,
) -> None:
    """Two lost disks of three leave no quorum: nothing may be made up."""
    survivor = ranked(cluster)[0]
    for machine in cluster.machines:
        if machine is not survivor:
            cluster.lose_disk(machine)
    cluster.run(10)
    assert ranked(cluster)[0].raft is not None
    assert all(
        machine.raft is None or machine.raft.leadership is None
        for machine in cluster.machines
    )


def search_seeds(count: int) -> None:
    for seed in range(count):
        run_random_faults(seed, 3 if seed % 2 else 5, episodes=12)


def three_members() -> Any:
    members = [Member(f'{name}/1', voter=True) for name in 'abc']
    membership = pack(Membership(members=members))
    entries = [
        Entry(1, 1, EntryKind.membership, membership),
        Entry(1, 2, EntryKind.command, b'old'),
    ]
    recovered = Recovered(entries=entries)
    recovered.ballot = attrs.evolve(recovered.ballot, cluster='a/1', term=1)
    names = ('a', 'b', 'c')
    return core.create_raft('a/1', names, recovered, Random(0), 0)


def grant(raft: Any, pre_vote: bool) -> None:
    requests = [
        each for each in core.take_effects(raft).messages if each.vote_request
    ]
    request = requests[0].vote_request
    assert request.pre_vote is pre_vote
    reply = election.VoteReply(pre_vote, request.proposed_term, granted=True)
    core.step(envelope(raft, vote_reply=reply), raft, 10)


def acknowledge(raft: Any, match_index: int) -> None:
    reply = AppendReply(True, match_index, sent_at=10, stamp=0)
    core.step(envelope(raft, append_reply=reply), raft, 10)


def envelope(raft: Any, **content: Any) -> Envelope:
    return Envelope('a/1', 'b/1', 'a/1', raft.ballot.term, **content)


def test_members_follow_the_settings(cluster: Cluster) -> None:
    """A new instance gets a vote; one that departed is removed."""
    cluster.add_machine('c4')
    cluster.run(4)
    assert cluster.may_lose_disk()
    departed = cluster.remove_machine('c1')
    cluster.run(8)
    assert cluster.may_lose_disk()
    assert departed not in cluster.machines
    cluster.check_recovery()


def test_late_request_to_lead_is_void(cluster: Cluster) -> None:
    """A copy of a transfer that arrives in a later term starts nothing."""
    leader, *_ = ranked(cluster)
    cluster.transfer(leader)
    assert leader.raft is not None
    transfers = [
        each for each in leader.raft.outbox if each.transfer_leadership
    ]
    cluster.run(3)
    successor = ranked(cluster)[0]
    assert successor is not leader
    assert successor.raft is not None
    term = successor.raft.ballot.term
    cluster.flight.extend((cluster.time, each) for each in transfers)
    cluster.run(3)
    assert ranked(cluster)[0] is successor
    assert successor.raft.ballot.term == term

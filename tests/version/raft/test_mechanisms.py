"""Mechanisms of consensus, and the fault that occurs without each of them."""

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
    VoteRequest,
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
from wasabiturn.version.raft.timing import ELECTION_TIMEOUT_SECONDS, NEVER

Expectation = Callable[[], AbstractContextManager[Any]]


def violates(text: str) -> Expectation:
    return lambda: pytest.raises(AssertionError, match=text)


NO_VIOLATION: Expectation = nullcontext


@pytest.fixture
def cluster() -> Cluster:
    cluster = Cluster(3, Random(1))
    cluster.run(2)
    return cluster


def leader_first(cluster: Cluster) -> list[Machine]:
    """Return the machines, the leader first."""
    return sorted(
        cluster.machines,
        key=lambda each: each.raft is None or each.raft.leadership is None,
    )


def cut_link(cluster: Cluster, one: Machine, other: Machine) -> None:
    cluster.cut_routes |= {(one.name, other.name), (other.name, one.name)}


def expire_election_timer(machine: Machine) -> None:
    """End the election timeout at once, as if the shortest was drawn."""
    assert machine.raft is not None
    machine.raft.election_due_at = 0


@pytest.mark.parametrize(
    ('protected', 'expectation'),
    [(True, NO_VIOLATION), (False, violates('two leases'))],
)
def test_voters_that_hear_a_leader_refuse_votes(
    cluster: Cluster,
    monkeypatch: pytest.MonkeyPatch,
    protected: bool,
    expectation: Expectation,
) -> None:
    leader, candidate, voter = leader_first(cluster)
    cut_link(cluster, leader, candidate)
    cluster.run(0.9)
    expire_election_timer(candidate)
    if not protected:
        monkeypatch.setattr(
            election,
            'must_refuse_votes',
            lambda state, now: False,
        )
    cut_link(cluster, leader, voter)
    with expectation():
        cluster.run(2)


@pytest.mark.parametrize(
    ('protected', 'expectation'),
    [(True, NO_VIOLATION), (False, violates('two leases'))],
)
def test_restarted_voter_refuses_votes_for_one_timeout(
    cluster: Cluster,
    protected: bool,
    expectation: Expectation,
) -> None:
    leader, candidate, voter = leader_first(cluster)
    cut_link(cluster, leader, candidate)
    cluster.run(0.9)
    cut_link(cluster, leader, voter)
    cluster.run(0.1)
    expire_election_timer(candidate)
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
        (lease.LEASE_SECONDS, NO_VIOLATION),
        (ELECTION_TIMEOUT_SECONDS * 1.6, violates('two leases')),
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


def test_lease_ends_before_votes_at_maximum_drift() -> None:
    """The lease of a slow leader ends before fast followers may vote."""
    drift = 0.05
    lease_ends_at = lease.LEASE_SECONDS / (1 - drift)
    votes_begin_at = ELECTION_TIMEOUT_SECONDS / (1 + drift)
    assert lease_ends_at <= votes_begin_at


def count_lease_from_receipt(progress: Any, reply: Any) -> None:
    progress.acknowledged_sent_at = reply.sent_at + 0.5
    progress.stamp = reply.stamp
    progress.life = reply.life


def count_freshness_from_receipt(state: Any, request: Any) -> None:
    if request.confirmed:
        state.fresh_as_of = state.heard_leader_at


def trust_stamps_of_any_process(state: Any, request: Any) -> None:
    if request.confirmed:
        state.fresh_as_of = max(state.fresh_as_of, request.echoed_stamp)


@pytest.mark.parametrize(
    ('module', 'name', 'replacement', 'text'),
    [
        (
            replication,
            'record_acknowledgement',
            count_lease_from_receipt,
            'two leases',
        ),
        (
            following,
            '_update_freshness',
            count_freshness_from_receipt,
            'stale state reported as fresh',
        ),
    ],
)
def test_random_faults_reveal_a_missing_mechanism(
    monkeypatch: pytest.MonkeyPatch,
    module: Any,
    name: str,
    replacement: Any,
    text: str,
) -> None:
    monkeypatch.setattr(module, name, replacement)
    with pytest.raises(AssertionError, match=text):
        run_random_fault_seeds(60)


@pytest.mark.parametrize(
    ('confirm', 'expectation'),
    [
        (following._update_freshness, NO_VIOLATION),
        (
            trust_stamps_of_any_process,
            violates('stale state reported as fresh'),
        ),
    ],
)
def test_stamp_of_an_earlier_process_confirms_nothing(
    cluster: Cluster,
    monkeypatch: pytest.MonkeyPatch,
    confirm: Any,
    expectation: Expectation,
) -> None:
    """A reboot may set a clock back, so older stamps lie in its future."""
    monkeypatch.setattr(following, '_update_freshness', confirm)
    leader, follower, _ = leader_first(cluster)
    cluster.crash(follower)
    follower.offset -= 500
    cluster.start(follower)
    cluster.cut_routes.add((follower.name, leader.name))
    cluster.run(0.3)
    cut_link(cluster, leader, follower)
    cluster.submit(leader)
    with expectation():
        cluster.run(5)


def test_isolated_member_does_not_raise_the_term(cluster: Cluster) -> None:
    leader, isolated, other = leader_first(cluster)
    assert leader.raft is not None
    term = leader.raft.ballot.term
    cut_link(cluster, isolated, leader)
    cut_link(cluster, isolated, other)
    cluster.run(30)
    cluster.heal()
    cluster.run(1)
    assert leader_first(cluster)[0] is leader
    assert leader.raft.ballot.term == term


def test_isolated_leader_steps_down(cluster: Cluster) -> None:
    leader, *others = leader_first(cluster)
    for other in others:
        cut_link(cluster, leader, other)
    cluster.run(3)
    assert leader.raft is not None
    assert leader.raft.leadership is None
    assert leader_first(cluster)[0] in others


def test_older_entry_commits_only_with_one_of_the_current_term() -> None:
    """A quorum of copies does not commit it: it may still be replaced."""
    raft = create_candidate_member()
    core.step(core.Tick(), raft, 10)
    for pre_vote in (True, False):
        grant_vote(raft, pre_vote)
    assert raft.leadership is not None
    acknowledge(raft, 2)
    assert raft.commit_index == 0
    acknowledge(raft, 3)
    assert raft.commit_index == 3


def test_new_leader_holds_no_lease_before_its_first_entry() -> None:
    raft = create_candidate_member()
    core.step(core.Tick(), raft, 10)
    for pre_vote in (True, False):
        grant_vote(raft, pre_vote)
    acknowledge(raft, 2)
    assert not lease.holds_lease(raft, 10.1)
    acknowledge(raft, 3)
    assert lease.holds_lease(raft, 10.1)


def test_snapshot_larger_than_a_frame_is_sent_in_chunks(
    cluster: Cluster,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(snapshots, 'CHUNK_BYTES', 2)
    leader, lagging, _ = leader_first(cluster)
    cluster.crash(lagging)
    for _ in range(9):
        cluster.submit(leader)
    cluster.run(1)
    cluster.take_snapshot(leader)
    cluster.loss = 0.3
    cluster.start(lagging)
    cluster.run(15)
    assert lagging.raft is not None
    assert lagging.raft.snapshot is not None
    assert lagging.applied == leader.applied


def test_successive_disk_losses_lose_no_data() -> None:
    cluster = Cluster(3, Random(3))
    cluster.run(2)
    for machine in cluster.machines * 2:
        for each in cluster.machines:
            cluster.submit(each)
        cluster.run(0.5)
        assert cluster.voters_match_disks()
        cluster.lose_disk(machine)
        cluster.run(6)
    cluster.check_recovery()


def test_no_second_cluster_is_founded_after_quorum_loss(
    cluster: Cluster,
) -> None:
    """Two lost disks of three leave no quorum, so no member may lead."""
    survivor = leader_first(cluster)[0]
    for machine in cluster.machines:
        if machine is not survivor:
            cluster.lose_disk(machine)
    cluster.run(10)
    assert leader_first(cluster)[0].raft is not None
    assert all(
        machine.raft is None or machine.raft.leadership is None
        for machine in cluster.machines
    )


def run_random_fault_seeds(count: int) -> None:
    for seed in range(count):
        run_random_faults(seed, 3 if seed % 2 else 5, episodes=12)


def create_candidate_member() -> Any:
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


def grant_vote(raft: Any, pre_vote: bool) -> None:
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


def test_membership_follows_the_settings(cluster: Cluster) -> None:
    """An instance added to the settings gets a vote; a removed one loses it."""
    cluster.add_machine('c4')
    cluster.run(4)
    assert cluster.voters_match_disks()
    departed = cluster.remove_machine('c1')
    cluster.run(8)
    assert cluster.voters_match_disks()
    assert departed not in cluster.machines
    cluster.check_recovery()


def test_late_leadership_transfer_is_ignored(cluster: Cluster) -> None:
    """A copy of a transfer that arrives in a later term has no effect."""
    leader, *_ = leader_first(cluster)
    cluster.transfer(leader)
    assert leader.raft is not None
    transfers = [
        each for each in leader.raft.outbox if each.transfer_leadership
    ]
    cluster.run(3)
    successor = leader_first(cluster)[0]
    assert successor is not leader
    assert successor.raft is not None
    term = successor.raft.ballot.term
    cluster.in_flight.extend((cluster.time, each) for each in transfers)
    cluster.run(3)
    assert leader_first(cluster)[0] is successor
    assert successor.raft.ballot.term == term


def stand_still(machine: Machine, seconds: float, time: float) -> float:
    """Tick a leader late; return when that is on its clock."""
    assert machine.raft is not None
    now = machine.now(time) + seconds
    core.step(core.Tick(late_seconds=seconds), machine.raft, now)
    return now


def test_leader_that_stood_still_lets_the_others_campaign_first(
    cluster: Cluster,
) -> None:
    machine = leader_first(cluster)[0]
    raft = machine.raft
    assert raft is not None
    now = stand_still(machine, 2, cluster.time)
    assert raft.leadership is None
    assert not lease.may_campaign(raft, now + 2.9)
    assert lease.may_campaign(raft, now + 3.1)


def test_leader_that_was_only_cut_off_campaigns_in_its_time(
    cluster: Cluster,
) -> None:
    machine = leader_first(cluster)[0]
    raft = machine.raft
    assert raft is not None
    now = machine.now(cluster.time) + 2
    core.step(core.Tick(), raft, now)
    assert lease.may_campaign(raft, now + 1.6)


def test_member_that_alone_has_the_log_does_not_leave_its_turn(
    cluster: Cluster,
) -> None:
    machine, candidate, _ = leader_first(cluster)
    raft = machine.raft
    assert raft is not None
    assert candidate.raft is not None
    now = stand_still(machine, 2, cluster.time)
    request = VoteRequest(
        pre_vote=True,
        proposed_term=raft.ballot.term + 1,
        last_term=raft.log.last_term,
        last_index=raft.log.last_index - 1,
    )
    envelope = Envelope(sender=candidate.raft.member_id, vote_request=request)
    election.handle_vote_request(raft, request, envelope, now + 1.1)
    assert lease.may_campaign(raft, now + 1.6)


def test_log_that_differs_is_not_sent_again_for_each_entry_that_differs(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A cut leader has entries of its own beside those of the next one."""
    former, *others = leader_first(cluster)
    for other in others:
        cut_link(cluster, former, other)
    differing = 60
    for _ in range(differing):
        cluster.submit(former)
    cluster.run(3)
    leader = leader_first(cluster)[0]
    assert leader is not former
    for _ in range(differing):
        cluster.submit(leader)
        cluster.run(0.02)
    sent_entries = record_sent_entries(cluster, former, monkeypatch)
    cluster.heal()
    for _ in range(10):
        cluster.submit(leader)
        cluster.run(0.05)
    cluster.run(2)
    assert former.raft is not None
    assert leader.raft is not None
    assert former.raft.commit_index >= leader.raft.commit_index - 1
    # As a whole, and again for what is sent before the first answer.
    assert sum(sent_entries) <= 5 * differing


def record_sent_entries(
    cluster: Cluster, receiver: Machine, monkeypatch: pytest.MonkeyPatch
) -> list[int]:
    """Return a list that gets the number of entries in each request."""
    sent_entries: list[int] = []
    transmit = cluster._transmit

    def record(envelope: Envelope) -> None:
        request = envelope.append_request
        if request and envelope.receiver.startswith(receiver.name):
            sent_entries.append(len(request.entries))
        transmit(envelope)

    monkeypatch.setattr(cluster, '_transmit', record)
    return sent_entries

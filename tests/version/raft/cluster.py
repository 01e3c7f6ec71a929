"""Simulated cluster with clocks, disks and a network that a test controls.

Each member runs the consensus core. Its clock has its own offset and rate. Its
disk keeps only what a flush saved. The network loses, duplicates and reorders
messages.
"""

from random import Random

import attrs

from wasabiturn.messages.codec import unpack
from wasabiturn.messages.kinds import EntryKind
from wasabiturn.messages.raft import (
    Entry,
    Envelope,
    LogRecord,
    Membership,
    SnapshotHead,
)
from wasabiturn.version.raft import core, lease, snapshots
from wasabiturn.version.raft.membership import name_of
from wasabiturn.version.raft.state import (
    Effects,
    RaftState,
    Recovered,
    Snapshot,
)
from wasabiturn.version.raft.timing import (
    FRESHNESS_PERIOD_SECONDS,
    MAX_CLOCK_DRIFT,
)
from wasabiturn.version.raft.transfer import transfer_leadership
from wasabiturn.version.storage.replay import Replay

STEP_SECONDS = 0.05
KEPT_ENTRIES = 3
KEPT_BYTES = 1_000_000


@attrs.define
class Disk:
    """Storage that survives a crash; holds copies, as files do."""

    incarnation: int = 1
    replay: Replay = attrs.field(factory=Replay)
    snapshot: Snapshot | None = None

    def save(self, effects: Effects) -> None:
        reset = 0
        if effects.snapshot is not None:
            self.snapshot = effects.snapshot
            reset = effects.snapshot.head.index
        record = LogRecord(
            ballot=effects.ballot,
            entries=effects.entries,
            reset_index=reset,
        )
        self.replay.apply(record)

    def recover(self) -> Recovered:
        head = self.snapshot.head if self.snapshot else SnapshotHead()
        entries = list(self.replay.entries_after(head))
        if self.replay.is_replaced_by(head):
            self.replay.apply(LogRecord(reset_index=head.index))
        ballot = attrs.evolve(self.replay.ballot)
        return Recovered(ballot, self.snapshot, entries)


@attrs.define
class Machine:
    """One instance: its disk, its clock and its process, if it runs."""

    name: str
    rate: float
    offset: float
    disk: Disk = attrs.field(factory=Disk)
    raft: RaftState | None = None
    paused: bool = False
    disk_is_full: bool = False
    # Effects that found no room; the member does nothing until they are saved.
    unsaved: Effects | None = None
    inbox: list[Envelope] = attrs.field(factory=list)
    applied: int = 0

    def now(self, time: float) -> float:
        return self.offset + self.rate * time


class Cluster:
    """Machines joined by a network; raises if an invariant is broken."""

    def __init__(self, size: int, random: Random) -> None:
        self.random = random
        self.time = 0.0
        self.loss = 0.0
        self.names = tuple(f'c{number}' for number in range(1, size + 1))
        self.cut_routes: set[tuple[str, str]] = set()
        self.in_flight: list[tuple[float, Envelope]] = []
        self.leader_by_term: dict[int, str] = {}
        self.entry_by_index: dict[int, Entry] = {}
        self.committed_at: dict[int, float] = {}
        self.submitted = 0
        self.acknowledged: list[bytes] = []
        self.machines = [self._create_machine(name) for name in self.names]

    def _create_machine(self, name: str) -> Machine:
        drift = self.random.uniform(-1, 1) * MAX_CLOCK_DRIFT
        machine = Machine(
            name=name,
            rate=1 + drift,
            offset=self.random.uniform(0, 1000),
        )
        self.start(machine)
        return machine

    def add_machine(self, name: str) -> None:
        """Add a new instance to the settings of all members, and start it."""
        self._set_names((*self.names, name))
        self.machines.append(self._create_machine(name))

    def remove_machine(self, name: str) -> Machine:
        """Remove an instance from the settings of all members, and stop it."""
        self._set_names(tuple(each for each in self.names if each != name))
        departed = next(each for each in self.machines if each.name == name)
        self.machines.remove(departed)
        return departed

    def _set_names(self, names: tuple[str, ...]) -> None:
        self.names = names
        for machine in self.machines:
            if machine.raft is not None:
                machine.raft.names = names

    # Faults

    def start(self, machine: Machine) -> None:
        machine.paused = False
        machine.unsaved = None
        machine.inbox.clear()
        machine.raft = core.create_raft(
            f'{machine.name}/{machine.disk.incarnation}',
            self.names,
            machine.disk.recover(),
            self.random,
            machine.now(self.time),
        )
        machine.applied = machine.raft.emitted_index

    def crash(self, machine: Machine) -> None:
        """Stop the process and lose everything that no flush has saved."""
        machine.raft = None
        machine.paused = False
        machine.unsaved = None

    def reboot_clock(self, machine: Machine) -> None:
        """Randomly give a stopped machine another clock, as a reboot does."""
        if machine.raft is None and self.random.random() < 0.5:
            machine.offset = self.random.uniform(-1000, 1000)

    def voters_match_disks(self) -> bool:
        """Return whether the voters are the incarnations on the disks."""
        membership = self.committed_membership()
        votes = {each.member_id for each in membership.members if each.voter}
        present = {
            f'{machine.name}/{machine.disk.incarnation}'
            for machine in self.machines
        }
        return votes == present

    def lose_disk(self, machine: Machine) -> None:
        self.crash(machine)
        machine.disk = Disk(incarnation=machine.disk.incarnation + 1)
        self.start(machine)

    def committed_membership(self) -> Membership:
        found = Membership()
        for index in sorted(self.entry_by_index):
            entry = self.entry_by_index[index]
            if entry.kind is EntryKind.membership:
                found = unpack(Membership, entry.payload)
        return found

    # Work

    def submit(self, machine: Machine) -> None:
        if machine.raft is None or machine.paused or machine.unsaved:
            return
        self.submitted += 1
        payload = str(self.submitted).encode()
        core.propose(
            machine.raft,
            core.Propose((payload,)),
            machine.now(self.time),
        )

    def take_snapshot(self, machine: Machine) -> None:
        raft = machine.raft
        if raft is None or machine.paused or machine.disk_is_full:
            return
        self.flush(machine)
        if raft.emitted_index <= raft.log.offset:
            return
        content = str(raft.emitted_index).encode() * 3
        snapshot = snapshots.create_snapshot(raft, raft.emitted_index, content)
        machine.disk.snapshot = snapshot
        snapshots.adopt_snapshot(raft, snapshot, KEPT_ENTRIES, KEPT_BYTES)

    def transfer(self, machine: Machine) -> None:
        if machine.unsaved is not None:
            return
        if machine.raft is not None and not machine.paused:
            transfer_leadership(machine.raft, machine.now(self.time))

    def flush(self, machine: Machine) -> None:
        raft = machine.raft
        if raft is None:
            return
        effects = machine.unsaved or core.take_effects(raft)
        machine.unsaved = None
        if machine.disk_is_full and not _saves_nothing(effects):
            machine.unsaved = effects
            return
        machine.disk.save(effects)
        for envelope in effects.messages:
            self._transmit(envelope)
        if effects.snapshot is not None:
            machine.applied = effects.snapshot.head.index
        for entry in effects.committed:
            self._record_commit(machine, entry)

    def run(self, seconds: float, flush_share: float = 1.0) -> None:
        """Advance time, with ticks, deliveries and flushes."""
        end = self.time + seconds
        while self.time < end:
            self.time += STEP_SECONDS
            self._deliver_due()
            for machine in self.machines:
                self._step_machine(machine, flush_share)
            self.check()

    def heal(self) -> None:
        """End all faults except lost disks."""
        self.cut_routes.clear()
        self.loss = 0.0
        for machine in self.machines:
            machine.paused = False
            machine.disk_is_full = False
            if machine.raft is None:
                self.start(machine)

    def _step_machine(self, machine: Machine, flush_share: float) -> None:
        raft = machine.raft
        if raft is None or machine.paused:
            return
        now = machine.now(self.time)
        inbox = machine.inbox
        machine.inbox = []
        if machine.unsaved is not None:
            self.flush(machine)
            return
        for envelope in inbox:
            core.step(envelope, raft, now)
        core.step(core.Tick(), raft, now)
        if self.random.random() < flush_share:
            self.flush(machine)

    def _transmit(self, envelope: Envelope) -> None:
        route = (name_of(envelope.sender), name_of(envelope.receiver))
        if route in self.cut_routes or self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.loss else 1
        for _ in range(copies):
            delay = self.random.random() * STEP_SECONDS
            if self.random.random() < self.loss:
                delay = self.random.random() * 4
            self.in_flight.append((self.time + delay, envelope))

    def _deliver_due(self) -> None:
        due = [each for each in self.in_flight if each[0] <= self.time]
        self.in_flight = [
            each for each in self.in_flight if each[0] > self.time
        ]
        self.random.shuffle(due)
        for _, envelope in due:
            self._deliver(envelope)

    def _deliver(self, envelope: Envelope) -> None:
        name = name_of(envelope.receiver)
        for machine in self.machines:
            if machine.name == name and machine.raft is not None:
                machine.inbox.append(envelope)

    # Invariants

    def check(self) -> None:
        holders = []
        for machine in self.machines:
            if machine.raft is not None:
                self._check_leader(machine.raft)
                self._check_fresh(machine, machine.raft)
                now = machine.now(self.time)
                if lease.holds_lease(machine.raft, now):
                    holders.append(machine.raft)
        assert len(holders) <= 1, f'two leases: {holders}'
        newest = max(self.entry_by_index, default=0)
        for holder in holders:
            assert holder.commit_index >= newest, 'stale read under a lease'

    def _check_leader(self, raft: RaftState) -> None:
        if raft.leadership is None:
            return
        leader = self.leader_by_term.setdefault(
            raft.ballot.term,
            raft.member_id,
        )
        assert leader == raft.member_id, (
            f'two leaders in term {raft.ballot.term}'
        )

    def _check_fresh(self, machine: Machine, raft: RaftState) -> None:
        if not lease.is_fresh(raft, machine.now(self.time)):
            return
        horizon = self.time - FRESHNESS_PERIOD_SECONDS
        for index, committed_at in self.committed_at.items():
            if committed_at < horizon:
                assert raft.commit_index >= index, (
                    'stale state reported as fresh'
                )

    def _record_commit(self, machine: Machine, entry: Entry) -> None:
        assert entry.index == machine.applied + 1, 'gap in applied entries'
        machine.applied = entry.index
        known = self.entry_by_index.setdefault(entry.index, entry)
        assert known == entry, f'committed entry {entry.index} changed'
        self.committed_at.setdefault(entry.index, self.time)

    def check_recovery(self, seconds: float = 20.0) -> None:
        """End all faults; check that members converge and writes continue."""
        self.heal()
        self.run(seconds)
        newest = max(self.entry_by_index, default=0)
        leaders = [
            machine
            for machine in self.machines
            if machine.raft is not None and machine.raft.leadership is not None
        ]
        assert len(leaders) == 1, f'{len(leaders)} leaders after healing'
        self.submit(leaders[0])
        self.run(1)
        assert max(self.entry_by_index) > newest, 'writes do not continue'
        assert self.voters_match_disks(), (
            'a lost disk was not replaced as a voter'
        )
        for machine in self.machines:
            assert machine.applied == max(self.entry_by_index)


def inject_fault(cluster: Cluster) -> None:
    """Cause a random fault, submit commands at random and advance time."""
    machine = _choose_machine(cluster)
    action = cluster.random.choice(FAULT_ACTIONS)
    action(cluster, machine)
    if cluster.random.random() < 0.5:
        for each in cluster.machines:
            cluster.submit(each)
    flush_share = cluster.random.choice((0.5, 1.0, 1.0))
    cluster.run(cluster.random.choice((0.05, 0.1, 0.5, 1.0, 2.0)), flush_share)


def run_random_faults(seed: int, size: int, episodes: int) -> Cluster:
    """Run seeded episodes of random faults; raise on a broken invariant."""
    cluster = Cluster(size, Random(seed))
    cluster.run(1)
    for _ in range(episodes):
        cluster.run(cluster.random.choice((0.5, 1.5, 3.0)))
        for _ in range(cluster.random.randint(1, 6)):
            inject_fault(cluster)
        cluster.heal()
    cluster.check_recovery()
    return cluster


def _choose_machine(cluster: Cluster) -> Machine:
    """Choose a leader more often: its faults are the hardest to handle."""
    leaders = [
        machine
        for machine in cluster.machines
        if machine.raft is not None and machine.raft.leadership is not None
    ]
    if leaders and cluster.random.random() < 0.6:
        return cluster.random.choice(leaders)
    return cluster.random.choice(cluster.machines)


def _crash_or_start(cluster: Cluster, machine: Machine) -> None:
    if machine.raft is not None:
        cluster.crash(machine)
    else:
        cluster.reboot_clock(machine)
        cluster.start(machine)


def _restart(cluster: Cluster, machine: Machine) -> None:
    cluster.crash(machine)
    cluster.start(machine)


def _lose_disk(cluster: Cluster, machine: Machine) -> None:
    if cluster.voters_match_disks():
        cluster.lose_disk(machine)


def _pause_or_resume(cluster: Cluster, machine: Machine) -> None:
    machine.paused = not machine.paused


def _saves_nothing(effects: Effects) -> bool:
    return (
        effects.ballot is None
        and not effects.entries
        and effects.snapshot is None
    )


def _fill_or_free_disk(cluster: Cluster, machine: Machine) -> None:
    machine.disk_is_full = not machine.disk_is_full


def _cut_one_way(cluster: Cluster, machine: Machine) -> None:
    other = cluster.random.choice(cluster.names)
    route = (machine.name, other)
    if cluster.random.random() < 0.5:
        route = (other, machine.name)
    cluster.cut_routes.add(route)


def _cut_pair(cluster: Cluster, machine: Machine) -> None:
    other = cluster.random.choice(cluster.names)
    cluster.cut_routes |= {(machine.name, other), (other, machine.name)}


def _isolate(cluster: Cluster, machine: Machine) -> None:
    for other in cluster.names:
        cluster.cut_routes |= {(machine.name, other), (other, machine.name)}


def _reconnect(cluster: Cluster, machine: Machine) -> None:
    cluster.cut_routes.clear()


def _lose_messages(cluster: Cluster, machine: Machine) -> None:
    cluster.loss = cluster.random.choice((0.0, 0.1, 0.3))


def _transfer(cluster: Cluster, machine: Machine) -> None:
    cluster.transfer(machine)


def _take_snapshot(cluster: Cluster, machine: Machine) -> None:
    cluster.take_snapshot(machine)


FAULT_ACTIONS = (
    _crash_or_start,
    _restart,
    _lose_disk,
    _pause_or_resume,
    _fill_or_free_disk,
    _cut_one_way,
    _cut_pair,
    _isolate,
    _isolate,
    _reconnect,
    _lose_messages,
    _take_snapshot,
    _transfer,
)

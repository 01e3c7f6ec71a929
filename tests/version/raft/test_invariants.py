"""Stateful tests of the invariants of consensus, with 3 and 5 members.

``Cluster`` checks the invariants: one leader per term, no committed entry lost
or changed, at most one lease, no stale read under it, no stale state reported
as fresh.
"""

from random import Random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.version.raft.cluster import Cluster, Machine

numbers = st.integers(0, 4)
durations = st.sampled_from([0.05, 0.1, 0.5, 1.0, 2.0])


class ClusterMachine(RuleBasedStateMachine):
    size = 3

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(self.size, Random(0))

    @initialize(seed=st.integers(0, 2**16))
    def found_cluster(self, seed: int) -> None:
        self.cluster = Cluster(self.size, Random(seed))
        self.cluster.run(1)

    def pick(self, number: int) -> Machine:
        """Return a machine by number; 0 is a leader, if there is one."""
        machines = sorted(self.cluster.machines, key=_leader_first_key)
        return machines[number % self.size]

    @rule(seconds=durations, flush_share=st.sampled_from([0.5, 1.0]))
    def run(self, seconds: float, flush_share: float) -> None:
        self.cluster.run(seconds, flush_share)

    @rule(number=numbers)
    def submit(self, number: int) -> None:
        self.cluster.submit(self.pick(number))

    @rule(number=numbers)
    def crash(self, number: int) -> None:
        self.cluster.crash(self.pick(number))

    @rule(number=numbers)
    def start(self, number: int) -> None:
        machine = self.pick(number)
        if machine.raft is None:
            self.cluster.reboot_clock(machine)
            self.cluster.start(machine)

    @rule(number=numbers)
    @precondition(lambda self: self.cluster.voters_match_disks())
    def lose_disk(self, number: int) -> None:
        self.cluster.lose_disk(self.pick(number))

    @rule(number=numbers)
    def pause_or_resume(self, number: int) -> None:
        machine = self.pick(number)
        machine.paused = not machine.paused

    @rule(number=numbers)
    def fill_or_free_disk(self, number: int) -> None:
        machine = self.pick(number)
        machine.disk_is_full = not machine.disk_is_full

    @rule(source=numbers, sink=numbers)
    def cut_one_way(self, source: int, sink: int) -> None:
        route = (self.pick(source).name, self.pick(sink).name)
        self.cluster.cut_routes.add(route)

    @rule(number=numbers)
    def isolate(self, number: int) -> None:
        name = self.pick(number).name
        for other in self.cluster.names:
            self.cluster.cut_routes |= {(name, other), (other, name)}

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def lose_messages(self, loss: float) -> None:
        self.cluster.loss = loss

    @rule(number=numbers)
    def take_snapshot(self, number: int) -> None:
        self.cluster.take_snapshot(self.pick(number))

    @rule(number=numbers)
    def transfer(self, number: int) -> None:
        self.cluster.transfer(self.pick(number))

    @rule()
    def heal(self) -> None:
        self.cluster.heal()
        self.cluster.run(2)

    @invariant()
    def invariants_hold(self) -> None:
        self.cluster.check()

    def teardown(self) -> None:
        self.cluster.check_recovery()


class FiveMemberMachine(ClusterMachine):
    size = 5


def _leader_first_key(machine: Machine) -> tuple[bool, str]:
    raft = machine.raft
    return (raft is None or raft.leadership is None, machine.name)


_SETTINGS = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestThreeMembers = ClusterMachine.TestCase
TestThreeMembers.settings = _SETTINGS
TestFiveMembers = FiveMemberMachine.TestCase
TestFiveMembers.settings = settings(_SETTINGS, max_examples=30)

"""A control group without consensus: one list of commands, applied by each."""

from collections.abc import Callable

from twisted.internet.defer import Deferred, fail, succeed

from tests.process.network import Network
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.ids import InstanceName, LogIndex
from wasabiturn.messages.kinds import Role
from wasabiturn.messages.link import Hello
from wasabiturn.messages.raft import Member
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process.control.api_core import ApiCore, register_api
from wasabiturn.process.control.directory import create_directory
from wasabiturn.process.control.sessions import Sessions
from wasabiturn.process.control.tokens import Tokens
from wasabiturn.process.control.watches import create_watches
from wasabiturn.version.apply import apply_command
from wasabiturn.version.persistence import dump_state, load_state
from wasabiturn.version.replica import (
    AppliedCommand,
    MemberStatus,
    NotLeaderError,
    OutcomeUnknownError,
)
from wasabiturn.version.state import create_state


class FakeReplica:
    """Member whose contact with the others the test decides."""

    def __init__(self, name: str, group: 'Group') -> None:
        self.name = InstanceName(name)
        self.state = create_state()
        self.on_applied: list[Callable[[AppliedCommand], None]] = []
        self.on_restored: list[Callable[[], None]] = []
        self.on_role_change: list[Callable[[], None]] = []
        self.cut_off = False
        self.applied = 0
        self._group = group

    def submit(self, command: Command) -> Deferred[Outcome]:
        if self._group.leader is not self or self.cut_off:
            return fail(NotLeaderError(self.leader()))
        outcome = self._group.commit(command)
        if self._group.loses_answers:
            return fail(OutcomeUnknownError('leadership was lost'))
        return succeed(outcome)

    def read_barrier(self) -> Deferred[None]:
        if self._group.leader is not self or self.cut_off:
            return fail(NotLeaderError(self.leader()))
        return succeed(None)

    def leader(self) -> InstanceName | None:
        leader = self._group.leader
        return None if self.cut_off or leader is None else leader.name

    def holds_lease(self, now: float) -> bool:
        return self._group.leader is self and not self.cut_off

    def is_fresh(self, now: float) -> bool:
        return not self.cut_off and self._group.leader is not None

    def member_status(self) -> MemberStatus:
        role = 'leader' if self._group.leader is self else 'follower'
        members = tuple(
            Member(member_id=replica.name, voter=True)
            for replica in self._group.replicas
        )
        return MemberStatus(role=role, term=1, members=members)

    def catch_up(self) -> None:
        if self.cut_off:
            return
        for command in self._group.log[self.applied :]:
            effect = apply_command(self.state, command)
            self.applied += 1
            applied = AppliedCommand(
                LogIndex(self.applied),
                command,
                effect.outcome,
                effect.changes,
            )
            for callback in self.on_applied:
                callback(applied)

    def install_snapshot(self) -> None:
        """Take the leader's state as a snapshot, as a lagging member does."""
        leader = self._group.leader
        assert leader is not None
        self.state = load_state(dump_state(leader.state))
        self.applied = leader.applied
        for callback in self.on_restored:
            callback()


class Group:
    """Members ``control-1``... behind ports 1, 2, ... of a network."""

    def __init__(
        self,
        network: Network,
        size: int = 3,
        tokens: Tokens | None = None,
    ) -> None:
        self.tokens = tokens or Tokens()
        self.log: list[Command] = []
        self.loses_answers = False
        self.network = network
        self.replicas = [
            FakeReplica(f'control-{number}', self)
            for number in range(1, size + 1)
        ]
        self.leader: FakeReplica | None = self.replicas[0]
        self.dispatches: list[Dispatch] = []
        self.sessions: list[Sessions] = []
        for replica in self.replicas:
            self._serve(replica)
        self.endpoints = [
            network.listen(port, dispatch)
            for port, dispatch in enumerate(self.dispatches, start=1)
        ]

    def commit(self, command: Command) -> Outcome:
        self.log.append(command)
        assert self.leader is not None
        effects: list[Outcome] = []
        self.leader.on_applied.append(
            lambda applied: effects.append(applied.outcome),
        )
        for replica in self.replicas:
            replica.catch_up()
        self.leader.on_applied.pop()
        return effects[-1]

    def _serve(self, replica: FakeReplica) -> None:
        hello = Hello(name=replica.name, role=Role.control, protocol_version=1)
        dispatch = Dispatch(hello=hello)
        directory = create_directory(self.network)
        sessions = Sessions(replica, directory, self.network)
        sessions.register(dispatch)
        core = ApiCore(replica, directory, self.tokens)
        register_api(core, dispatch)
        sessions.watches = create_watches(
            replica,
            self.tokens,
            self.network,
            dispatch,
        )
        sessions.start()
        self.dispatches.append(dispatch)
        self.sessions.append(sessions)

"""Replica of this process: runs the consensus core on timers and links.

All messages and commands that arrive in one turn of the event loop are stepped
first and then flushed together.
"""

from collections.abc import Callable
from contextlib import ExitStack
from random import Random, SystemRandom
from typing import Any, cast, final

import attrs
from twisted.internet.defer import Deferred, fail, succeed

from wasabiturn.conf.sections import ControlSection
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.exceptions import DiskFullError, StateError, StorageError
from wasabiturn.ids import InstanceName
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.raft import Envelope, Membership
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process.control.applier import Applier
from wasabiturn.process.control.handover import Handover
from wasabiturn.process.control.member import (
    TICK_SECONDS,
    ActiveMember,
    open_member,
)
from wasabiturn.process.control.peers import Peers, create_peers
from wasabiturn.process.daemon import Context
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.ticker import Ticker
from wasabiturn.version.raft import founding, lease, membership, replication
from wasabiturn.version.raft.core import step
from wasabiturn.version.replica import MemberStatus, NotLeaderError
from wasabiturn.version.state import State

_log = create_component_log('consensus')


@final
@attrs.frozen
class _LeaderView:
    leader: InstanceName | None
    leads: bool


@final
class ConsensusReplica:
    """Member of the control group; implements ``version.replica.Replica``."""

    def __init__(
        self,
        context: Context,
        section: ControlSection,
        peers: Peers,
        random: Random,
    ) -> None:
        """Create the member; ``start`` opens its data folder."""
        self.name = InstanceName(context.settings.instance.name)
        self.on_role_change: list[Callable[[], None]] = []
        self._context = context
        self._section = section
        self._peers = peers
        self._random = random
        self._applier = Applier()
        self.on_applied = self._applier.on_applied
        self.on_restored = self._applier.on_restored
        self._leader_view = _LeaderView(leader=None, leads=False)
        self._flush_call: Any = None
        self._stack = ExitStack()
        self._member: ActiveMember | None = None
        self._handover: Handover | None = None

    @property
    def state(self) -> State:
        """Return the state after the last applied entry."""
        return self._applier.state

    def start(self) -> None:
        """Recover from the data folder, connect to the peers and start ticking.

        Raises:
            StorageError: the data folder cannot be used.
        """
        member = open_member(
            self._section,
            self.name,
            self._peers,
            self._applier,
            self._random,
            self._now(),
        )
        self._stack.callback(member.store.close)
        self._member = member
        self._stack.callback(self._peers.stop)
        self._peers.start()
        ticker = Ticker(self._tick, self._context.reactor)
        self._stack.callback(ticker.stop)
        ticker.start(TICK_SECONDS)

    def drain(self) -> Deferred[None]:
        """Refuse new commands, finish pending ones and transfer leadership."""
        if self._member is None:
            return succeed(None)
        self._handover = Handover(started_at=self._now())
        self._handover.advance(self._member, self._now())
        self._schedule_flush()
        return self._handover.done

    def close(self) -> None:
        """Stop, and close the data folder and the links."""
        if self._flush_call is not None:
            self._flush_call.cancel()
            self._flush_call = None
        self._member = None
        self._stack.close()

    def submit(self, command: Command) -> Deferred[Outcome]:
        """Commit and apply ``command``; see ``Replica.submit``."""
        if self._member is None or self._handover is not None:
            return fail(NotLeaderError(None))
        result = self._member.submit(command, self._now())
        self._schedule_flush()
        return result

    def read_barrier(self) -> Deferred[None]:
        """Wait until a quorum confirms this leader, unless it holds a lease."""
        member = self._member
        now = self._now()
        if member is None or member.is_stalled() or not member.has_leadership:
            return fail(NotLeaderError(self.leader()))
        if self.holds_lease(now):
            return succeed(None)
        return member.barriers.wait(now)

    def leader(self) -> InstanceName | None:
        """Return the name of the leader that this member has heard lately."""
        if self._member is None:
            return None
        return self._member.leader(self._now())

    def members(self) -> Membership:
        """Return the members of the group as this one knows them."""
        if self._member is None:
            return Membership()
        return membership.current(self._member.raft)

    def member_status(self) -> MemberStatus:
        """Return role, term, members and replication lag for operators."""
        member = self._member
        if member is None:
            return MemberStatus(role='stopped', term=0, members=())
        return MemberStatus(
            role=member.raft.role.value,
            term=member.raft.ballot.term,
            members=tuple(self.members().members),
            lag_by_id=replication.replication_lag(member.raft),
            missing=founding.find_gap(member.raft, self._now()),
        )

    def holds_lease(self, now: float) -> bool:
        """Return whether this member leads and no other can at ``now``."""
        member = self._member
        if member is None or not member.leads():
            return False
        return lease.holds_lease(member.raft, now)

    def is_fresh(self, now: float) -> bool:
        """Return whether ``state`` was current within the freshness period."""
        member = self._member
        return member is not None and lease.is_fresh(member.raft, now)

    def _now(self) -> float:
        return cast(float, self._context.reactor.seconds())

    def _tick(self) -> None:
        member = self._member
        if member is None:
            return
        if member.is_stalled():
            self._carry_out(member, member.retry_save)
        had_leadership = member.has_leadership
        memberless_names = self._peers.memberless_names()
        self.step(member.create_tick(memberless_names, self._now()))
        if had_leadership and not member.has_leadership:
            member.report_step_down()
        if self._handover is not None and self._member is member:
            self._handover.advance(member, self._now())

    def step(self, message: object) -> None:
        """Pass ``message`` to the consensus core; flush its effects later.

        While the disk has no room, messages are dropped as a network may.
        """
        if self._member is None or self._member.is_stalled():
            return
        try:
            step(message, self._member.raft, self._now())
        except StateError as error:
            self._stop_process(error)
            return
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flush_call is None:
            self._flush_call = self._context.reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        self._flush_call = None
        if self._member is not None and not self._member.is_stalled():
            self._carry_out(self._member, self._member.flush)

    def _carry_out(
        self, member: ActiveMember, action: Callable[[float], None]
    ) -> None:
        was_stalled = member.is_stalled()
        try:
            action(self._now())
        except DiskFullError as error:
            if not was_stalled:
                _log.warning(
                    'no room on the disk; standing aside', error=str(error)
                )
        except StateError as error:
            self._stop_process(error)
            return
        if was_stalled and not member.is_stalled():
            _log.event('the disk has room again')
        self._notify_role_change(member)

    def _notify_role_change(self, member: ActiveMember) -> None:
        view = _LeaderView(leader=self.leader(), leads=member.leads())
        if view == self._leader_view:
            return
        self._leader_view = view
        _log.event(
            'role changed',
            role=member.raft.role.value,
            term=member.raft.ballot.term,
            leader=view.leader,
        )
        for callback in self.on_role_change:
            callback()

    def _stop_process(self, error: StateError) -> None:
        """Stop the process; after an error this member must send nothing."""
        self._member = None
        self._context.fail(error)


def create_replica(context: Context, dispatch: Dispatch) -> ConsensusReplica:
    """Create the member of this process and register it on ``dispatch``.

    Raises:
        StorageError: the settings have no control section.
    """
    section = context.settings.control
    if section is None:
        raise StorageError('the settings have no [control] section')
    peers = create_peers(context, section, dispatch)
    replica = ConsensusReplica(context, section, peers, SystemRandom())
    dispatch.handle(
        Method.consensus,
        Envelope,
        lambda link, envelope: replica.step(envelope),
    )
    return replica

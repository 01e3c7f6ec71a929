"""Control members with real disks, a virtual clock and a fake network."""

from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from wasabiturn.conf.sections import ControlSection
from wasabiturn.conf.values import Member
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.exceptions import WasabiturnError
from wasabiturn.messages.batch import BatchChange, Routing
from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.raft import Envelope
from wasabiturn.messages.raft import Member as RaftMember
from wasabiturn.messages.state import (
    Command,
    ConfigurationSpec,
    Outcome,
    PutResource,
    Resource,
)
from wasabiturn.process.control.consensus import ConsensusReplica
from wasabiturn.process.daemon import Context
from wasabiturn.utils.metrics import NoMetrics
from wasabiturn.version.raft.membership import name_of

STEP_SECONDS = 0.05
DELAY_SECONDS = 0.001
NAMES = ('control-1', 'control-2', 'control-3')


@attrs.define
class MemoryPeers:
    """Send the messages of one member, packed, over the fake network."""

    group: 'ControlGroup'

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def memberless_names(self) -> frozenset[str]:
        return frozenset()

    def send(self, envelope: Envelope) -> None:
        self.group.transmit(pack(envelope), envelope)


class ControlGroup:
    """Control group of one test, with a journal of its events."""

    def __init__(
        self,
        folder: Path,
        snapshot_entries: int = 10_000,
        snapshot_bytes: int = 64_000_000,
    ) -> None:
        self.clock = Clock()
        self.folder = folder
        self.snapshot_entries = snapshot_entries
        self.snapshot_bytes = snapshot_bytes
        self.journal: list[str] = []
        self.disconnected: set[str] = set()
        self.replicas_by_name: dict[str, ConsensusReplica] = {}
        self._random = Random(7)
        self._members = ''
        self._ids_by_name: dict[str, list[str]] = {}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        settings: Any = SimpleNamespace(instance=SimpleNamespace(name=name))
        context = Context(settings, self.clock, NoMetrics())
        context.on_failure = lambda error: self._fail(name, error)
        replica = ConsensusReplica(
            context,
            self._section(name),
            MemoryPeers(self),
            self._random,
        )
        replica.on_role_change.append(lambda: self._log_role(replica))
        replica.start()
        self.replicas_by_name[name] = replica

    def crash(self, name: str) -> None:
        self.note(f'{name} is killed')
        self.replicas_by_name.pop(name).close()

    def lose_disk(self, name: str) -> None:
        self.crash(name)
        self.note(f'{name} loses its disk')
        for path in (self.folder / name).iterdir():
            path.unlink()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self.deliver_messages()
            self._log_members()

    def deliver_messages(self) -> None:
        """Deliver messages and their replies within this step."""
        for _ in range(12):
            self.clock.advance(DELAY_SECONDS / 12)

    def has_leader(self) -> bool:
        now = self.clock.seconds()
        replicas = self.replicas_by_name.values()
        return any(each.holds_lease(now) for each in replicas)

    def leader(self) -> ConsensusReplica:
        now = self.clock.seconds()
        leaders = [
            replica
            for replica in self.replicas_by_name.values()
            if replica.holds_lease(now)
        ]
        assert len(leaders) == 1, f'{len(leaders)} leases'
        return leaders[0]

    def put(self, replica: ConsensusReplica, name: str) -> list[str]:
        """Write a configuration; return a list that receives the outcome."""
        resource = Resource(
            kind=Kind.configuration,
            name=name,
            configuration_spec=ConfigurationSpec(settings={'by': name}),
        )
        command = Command(
            request_id=f'request-{name}',
            put=PutResource(resource=resource, expected_revision=-1),
        )
        return self._submit(replica, name, command)

    def put_routing(
        self, replica: ConsensusReplica, version: int, document: bytes
    ) -> list[str]:
        """Write a version of the queues; as ``put``."""
        routing = Routing(version=version, document=document)
        command = Command(batch=BatchChange(routing=routing))
        return self._submit(replica, f'routing {version}', command)

    def _submit(
        self, replica: ConsensusReplica, name: str, command: Command
    ) -> list[str]:
        answers: list[str] = []
        submitted: Deferred[Outcome] = replica.submit(command)
        submitted.addCallbacks(
            lambda outcome: answers.append(outcome.code.name),
            lambda failure: answers.append(type(failure.value).__name__),
        )
        submitted.addCallback(
            lambda _: self.note(f'write {name}: {answers[-1]}'),
        )
        return answers

    def configurations(self, name: str) -> list[str]:
        state = self.replicas_by_name[name].state
        return sorted(state.resources_by_kind[Kind.configuration])

    def note(self, text: str) -> None:
        self.journal.append(f'{self.clock.seconds():7.2f} {text}')

    def transmit(self, packed: bytes, envelope: Envelope) -> None:
        source = name_of(envelope.sender)
        target = name_of(envelope.receiver)
        if source in self.disconnected or target in self.disconnected:
            return
        self.clock.callLater(DELAY_SECONDS / 6, self._deliver, target, packed)

    def _deliver(self, name: str, packed: bytes) -> None:
        replica = self.replicas_by_name.get(name)
        if replica is not None and name not in self.disconnected:
            replica.step(unpack(Envelope, packed))

    def _log_role(self, replica: ConsensusReplica) -> None:
        leader = replica.leader()
        if replica.holds_lease(self.clock.seconds()):
            self.note(f'{replica.name} leads')
        elif leader == replica.name:
            self.note(f'{replica.name} is elected')
        else:
            self.note(f'{replica.name} follows {leader}')

    def _log_members(self) -> None:
        for replica in self.replicas_by_name.values():
            if replica.holds_lease(self.clock.seconds()):
                members = ', '.join(
                    self._describe(each) for each in replica.members().members
                )
                if members != self._members:
                    self._members = members
                    self.note(f'members: {members}')

    def _describe(self, member: RaftMember) -> str:
        """Describe a member; incarnations of an instance count from 1."""
        name = name_of(member.member_id)
        known_ids = self._ids_by_name.setdefault(name, [])
        if member.member_id not in known_ids:
            known_ids.append(member.member_id)
        kind = '' if member.voter else ' (learner)'
        return f'{name}/{known_ids.index(member.member_id) + 1}{kind}'

    def _fail(self, name: str, error: WasabiturnError) -> None:
        self.note(f'{name} stops: {error}'.replace(str(self.folder), ''))
        self.replicas_by_name.pop(name).close()

    def _section(self, name: str) -> ControlSection:
        unused_endpoint = Endpoint('127.0.0.1', 1)
        return ControlSection(
            listen=unused_endpoint,
            api_listen=unused_endpoint,
            members=tuple(Member(each, unused_endpoint) for each in NAMES),
            data_folder=self.folder / name,
            snapshot_entries=self.snapshot_entries,
            snapshot_bytes=self.snapshot_bytes,
        )

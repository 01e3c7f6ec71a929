"""Directory of agents that one control instance keeps as soft state.

It needs no quorum: every agent announces itself to every control instance.
"""

from typing import Any, final

import attrs

from wasabiturn.messages.session import AgentRecord, DirectoryChanges

AGENT_EXPIRY_SECONDS = 3.0


@final
@attrs.define
class _Entry:
    record: AgentRecord
    heard_at: float


@final
@attrs.define
class Directory:
    """Agents that announced themselves within the expiry period.

    In the first period after the start it may lack healthy agents, so it is
    not complete until that period has passed.
    """

    started_at: float
    entries_by_name: dict[str, _Entry] = attrs.field(factory=dict)

    def is_complete(self, now: float) -> bool:
        """Return whether every agent has had time to announce itself."""
        return now - self.started_at >= AGENT_EXPIRY_SECONDS

    def records(self) -> list[AgentRecord]:
        """Return the records of the agents, sorted by name."""
        ordered = sorted(self.entries_by_name.items())
        return [entry.record for _, entry in ordered]

    def update(self, record: AgentRecord, now: float) -> bool:
        """Store an announcement; return whether the directory changed.

        An announcement that arrives after a newer one is dropped.
        """
        known = self.entries_by_name.get(record.name)
        if known is not None and _is_outdated(record, known.record):
            return False
        self.entries_by_name[record.name] = _Entry(record, heard_at=now)
        return known is None or known.record != record

    def expire(self, now: float) -> list[str]:
        """Remove agents without a recent announcement; return their names."""
        expired = [
            name
            for name, entry in self.entries_by_name.items()
            if now - entry.heard_at > AGENT_EXPIRY_SECONDS
        ]
        for name in expired:
            self.entries_by_name.pop(name)
        return expired


def snapshot_directory(directory: Directory, now: float) -> DirectoryChanges:
    """Return the message that a new subscriber gets first."""
    return DirectoryChanges(
        snapshot=directory.is_complete(now),
        agents=directory.records(),
    )


def create_directory(clock: Any) -> Directory:
    """Create an empty directory."""
    return Directory(started_at=clock.seconds())


def _is_outdated(record: AgentRecord, known: AgentRecord) -> bool:
    if record.incarnation != known.incarnation:
        return False
    return record.sequence < known.sequence

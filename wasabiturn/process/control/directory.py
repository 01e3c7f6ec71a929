"""Soft directory of agents at one control instance.

It needs no quorum: every agent announces itself to every control instance.
"""

from typing import Any, final

import attrs

from wasabiturn.messages.session import AgentRecord, DirectoryChanges

EXPIRY_SECONDS = 3.0


@final
@attrs.define
class _Entry:
    record: AgentRecord
    heard_at: float


@final
@attrs.define
class Directory:
    """Agents heard within the expiry period.

    Until one period has passed since its start it may lack agents that are
    well, so it does not yet claim to be complete.
    """

    started_at: float
    entries_by_name: dict[str, _Entry] = attrs.field(factory=dict)

    def is_complete(self, now: float) -> bool:
        """Tell whether every agent had the time to announce itself."""
        return now - self.started_at >= EXPIRY_SECONDS

    def records(self) -> list[AgentRecord]:
        """Return the agents by name."""
        ordered = sorted(self.entries_by_name.items())
        return [entry.record for _, entry in ordered]

    def take(self, record: AgentRecord, now: float) -> bool:
        """Note an announcement; return whether it brought a change.

        An announcement that was overtaken by a newer one is dropped.
        """
        known = self.entries_by_name.get(record.name)
        if known is not None and _is_overtaken(record, known.record):
            return False
        self.entries_by_name[record.name] = _Entry(record, heard_at=now)
        return known is None or known.record != record

    def expire(self, now: float) -> list[str]:
        """Remove and return the agents that have fallen silent."""
        gone = [
            name
            for name, entry in self.entries_by_name.items()
            if now - entry.heard_at > EXPIRY_SECONDS
        ]
        for name in gone:
            self.entries_by_name.pop(name)
        return gone


def snapshot_directory(directory: Directory, now: float) -> DirectoryChanges:
    """Return the message that brings a new subscriber up to date."""
    return DirectoryChanges(
        snapshot=directory.is_complete(now),
        agents=directory.records(),
    )


def create_directory(clock: Any) -> Directory:
    """Create an empty directory."""
    return Directory(started_at=clock.seconds())


def _is_overtaken(record: AgentRecord, known: AgentRecord) -> bool:
    if record.incarnation != known.incarnation:
        return False
    return record.sequence < known.sequence

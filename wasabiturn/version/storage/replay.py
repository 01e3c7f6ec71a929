"""Recovery of the ballot and entries from the records of the log."""

from typing import final

import attrs

from wasabiturn.exceptions import StorageError
from wasabiturn.messages.raft import Ballot, Entry, LogRecord, SnapshotHead


@final
@attrs.define
class Replay:
    """Ballot and entries after the records applied so far."""

    ballot: Ballot = attrs.field(factory=Ballot)
    entries: list[Entry] = attrs.field(factory=list)
    reset_index: int = 0

    def apply(self, record: LogRecord) -> None:
        """Apply one record.

        Raises:
            StorageError: entries are missing before those of the record.
        """
        if record.ballot is not None:
            self.ballot = record.ballot
        if record.reset_index:
            self.entries.clear()
            self.reset_index = record.reset_index
        for entry in record.entries:
            self._add_entry(entry)

    def entries_after(self, head: SnapshotHead) -> list[Entry]:
        """Return the entries that follow a snapshot.

        Raises:
            StorageError: entries between the snapshot and these are missing.
        """
        if not self.entries:
            return []
        first = self.entries[0].index
        if first > head.index + 1:
            raise StorageError(
                f'log entries {head.index + 1} to {first - 1} are missing',
            )
        if self.is_replaced_by(head):
            return []
        return self.entries[max(head.index - first + 1, 0) :]

    def is_replaced_by(self, head: SnapshotHead) -> bool:
        """Return whether a received snapshot replaces the entries.

        This is so if the process crashed after the snapshot was written and
        before the record of the reset was.
        """
        if not self.entries:
            return False
        position = head.index - self.entries[0].index
        if position < 0:
            return False
        if position >= len(self.entries):
            return True
        return self.entries[position].term != head.term

    def _add_entry(self, entry: Entry) -> None:
        if not self.entries:
            self.entries.append(entry)
            return
        first = self.entries[0].index
        expected = first + len(self.entries)
        if entry.index > expected:
            raise StorageError(
                f'log entries {expected} to {entry.index - 1} are missing',
            )
        del self.entries[max(entry.index - first, 0) :]
        self.entries.append(entry)

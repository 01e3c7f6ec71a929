"""In-memory tail of the replicated log."""

from typing import final

import attrs

from wasabiturn.exceptions import StateError
from wasabiturn.messages.raft import Entry


class InvariantError(StateError):
    """An invariant of consensus is broken; the member must stop."""


@final
@attrs.define
class Log:
    """Entries after ``offset``; a snapshot covers those up to it."""

    offset: int = 0
    offset_term: int = 0
    entries: list[Entry] = attrs.field(factory=list)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.offset + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        if self.entries:
            return self.entries[-1].term
        return self.offset_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` if it is not held."""
        if index == self.offset:
            return self.offset_term
        if self.offset < index <= self.last_index:
            return self.entries[index - self.offset - 1].term
        return None

    def read(self, first: int, max_bytes: int) -> list[Entry]:
        """Return entries from ``first``: at least one, up to ``max_bytes``."""
        size = 0
        chosen: list[Entry] = []
        for entry in self.entries[first - self.offset - 1 :]:
            size += len(entry.payload)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last``, both included."""
        return self.entries[first - self.offset - 1 : last - self.offset]

    def size_between(self, first: int, last: int) -> int:
        """Return the bytes of the entries from ``first`` to ``last``.

        Only those held here count.
        """
        held = self.between(max(first, self.offset + 1), last)
        return sum(len(entry.payload) for entry in held)

    def count_newest(self, last: int, max_entries: int, max_bytes: int) -> int:
        """Return how many entries up to ``last`` fit within both bounds."""
        size = 0
        first = max(self.offset, last - max_entries) + 1
        newest_first = reversed(self.between(first, last))
        for count, entry in enumerate(newest_first):
            size += len(entry.payload)
            if size > max_bytes:
                return count
        return max(last - first + 1, 0)

    def truncate(self, first: int) -> None:
        """Drop the entries from ``first`` on."""
        del self.entries[first - self.offset - 1 :]

    def compact(self, index: int) -> None:
        """Drop the entries up to ``index``, which a snapshot covers."""
        term = self.term_at(index)
        if term is None or index <= self.offset:
            return
        del self.entries[: index - self.offset]
        self.offset = index
        self.offset_term = term

    def reset(self, index: int, term: int) -> None:
        """Replace all entries by a snapshot that ends at ``index``."""
        self.entries.clear()
        self.offset = index
        self.offset_term = term

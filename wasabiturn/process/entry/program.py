"""Assembly of the entry program from its parts."""

from typing import final

import attrs
from twisted.internet.defer import Deferred, succeed

from wasabiturn.process.daemon import Context


@final
@attrs.define
class EntryProgram:
    """The entry program of one process."""

    context: Context

    def start(self) -> None:
        """Open ports and begin to work."""

    def drain(self) -> Deferred[None]:
        """Stop gracefully."""
        return succeed(None)

    def close(self) -> None:
        """Release ports and files."""


def create_entry(context: Context) -> EntryProgram:
    """Create the entry program from the settings of ``context``."""
    return EntryProgram(context=context)

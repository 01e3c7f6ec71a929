"""Whether the balancer should send this entry requests."""

from typing import Any, final

import attrs

from wasabiturn.process.entry.session import EntrySession


@final
@attrs.define
class Readiness:
    """Ready while control is in contact and the entry is not draining."""

    session: EntrySession
    reactor: Any
    draining: bool = False

    def is_ready(self) -> bool:
        """Tell whether requests should be sent here now."""
        return not self.draining and self.session.is_fresh(
            self.reactor.seconds(),
        )

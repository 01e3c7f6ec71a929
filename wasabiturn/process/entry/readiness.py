"""Readiness of an entry, as reported to the load balancer."""

from typing import Any, final

import attrs

from wasabiturn.process.entry.session import EntrySession


@final
@attrs.define
class Readiness:
    """Reports ready while the view is fresh and the entry is not draining."""

    session: EntrySession
    reactor: Any
    draining: bool = False

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return not self.draining and self.session.is_fresh(
            self.reactor.seconds(),
        )

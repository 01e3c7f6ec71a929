"""Updates of a resource's spec with optimistic concurrency control."""

from typing import Any, final

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.management.http_client import ApiClient, ApiError

MAX_ATTEMPTS = 5
_CONFLICT_STATUS = 409
_NOT_FOUND_STATUS = 404


@final
@attrs.define
class SpecUpdater:
    """Sets ``fields`` in the spec of the resource at ``path``.

    Reads the resource and writes it on condition that its revision is
    unchanged; starts over if another client has written it in between. A
    missing resource is created only if ``create_missing`` is true.
    """

    client: ApiClient
    path: str
    fields: dict[str, Any]
    create_missing: bool
    attempts_left: int = MAX_ATTEMPTS

    def run(self) -> Deferred[dict[str, Any]]:
        """Fire with the resource as written; fail with ``ApiError``."""
        current = self.client.read(self.path)
        current.addErrback(self._on_not_found)
        current.addCallback(self._write)
        return current.addErrback(self._on_conflict)

    def _on_not_found(self, failure: TwistedFailure) -> dict[str, Any]:
        error: Any = failure.value
        is_not_found = isinstance(error, ApiError)
        is_not_found = is_not_found and error.status == _NOT_FOUND_STATUS
        if is_not_found and self.create_missing:
            return {'revision': 0, 'spec': {}}
        raise error

    def _write(self, current: dict[str, Any]) -> Deferred[dict[str, Any]]:
        updated = {**current, 'spec': {**current['spec'], **self.fields}}
        return self.client.write('PUT', self.path, updated, current['revision'])

    def _on_conflict(self, failure: TwistedFailure) -> Any:
        error: Any = failure.value
        self.attempts_left -= 1
        is_conflict = isinstance(error, ApiError)
        is_conflict = is_conflict and error.status == _CONFLICT_STATUS
        if is_conflict and self.attempts_left > 0:
            return self.run()
        raise error

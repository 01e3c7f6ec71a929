"""Changes of one field of a resource, safe against other writers."""

from typing import Any, final

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.management.http_client import ApiClient, ApiError

ATTEMPTS = 5
_CONFLICT_STATUS = 409
_MISSING_STATUS = 404


@final
@attrs.define
class Edit:
    """Sets ``changed`` fields of the spec at ``path``.

    The resource is read and written at its revision, and again when another
    writer was faster. A missing one is created if ``creates`` is set.
    """

    client: ApiClient
    path: str
    changed: dict[str, Any]
    creates: bool
    attempts: int = ATTEMPTS

    def run(self) -> Deferred[dict[str, Any]]:
        """Fire with the written resource; fails with ``ApiError``."""
        found = self.client.read(self.path)
        found.addErrback(self._on_missing)
        found.addCallback(self._write)
        return found.addErrback(self._on_conflict)

    def _on_missing(self, failure: TwistedFailure) -> dict[str, Any]:
        error: Any = failure.value
        is_missing = isinstance(error, ApiError)
        is_missing = is_missing and error.status == _MISSING_STATUS
        if is_missing and self.creates:
            return {'revision': 0, 'spec': {}}
        raise error

    def _write(self, found: dict[str, Any]) -> Deferred[dict[str, Any]]:
        written = {**found, 'spec': {**found['spec'], **self.changed}}
        return self.client.write('PUT', self.path, written, found['revision'])

    def _on_conflict(self, failure: TwistedFailure) -> Any:
        error: Any = failure.value
        self.attempts -= 1
        is_conflict = isinstance(error, ApiError)
        is_conflict = is_conflict and error.status == _CONFLICT_STATUS
        if is_conflict and self.attempts > 0:
            return self.run()
        raise error

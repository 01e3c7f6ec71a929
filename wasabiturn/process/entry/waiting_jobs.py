"""Bounds the memory of jobs that an entry sends, until they are answered.

A decoded job takes several times the bytes of its request.
"""

from collections.abc import Callable
from typing import Any, TypeVar, final

import attrs
from twisted.internet.defer import Deferred, fail

from wasabiturn.connection.calls import CallError
from wasabiturn.messages.batch import JobDeclaration
from wasabiturn.messages.footprint import measure_declaration
from wasabiturn.messages.kinds import FailureCode
from wasabiturn.process.entry.memory_room import MemoryRoom

MAX_WAITING_BYTES = 42_000_000
NO_ROOM = 'too many jobs wait for an answer of the group'

AnswerType = TypeVar('AnswerType')


def _ignore_refusal() -> None:
    """Do nothing, in a process without metrics."""


@final
@attrs.define
class WaitingJobs:
    """Jobs of one entry that wait for the answers to their calls.

    ``on_refusal`` is called for each that is not sent, as there is no room.
    """

    room: MemoryRoom = attrs.field(
        factory=lambda: MemoryRoom(MAX_WAITING_BYTES)
    )
    on_refusal: Callable[[], None] = _ignore_refusal

    def hold(
        self,
        declaration: JobDeclaration | None,
        send: Callable[[], Deferred[AnswerType]],
    ) -> Deferred[AnswerType]:
        """Send a job, or fail as ``unavailable`` if there is no room.

        One is sent, however large it is, if no other waits.
        """
        if declaration is None:
            return send()
        size = measure_declaration(declaration).memory_bytes
        if not self.room.has_room(size):
            self.on_refusal()
            return fail(CallError(FailureCode.unavailable, NO_ROOM))
        self.room.reserve(size)
        return send().addBoth(self._release, size)

    def _release(self, outcome: Any, size: int) -> Any:
        self.room.release(size)
        return outcome

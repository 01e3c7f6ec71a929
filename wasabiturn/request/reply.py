"""What the agent sends on the stream of a request."""

from typing import final

import attrs

from wasabiturn.connection.streams import CHUNK_BYTES, Stream
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import Verdict
from wasabiturn.messages.session import LoadReport, ResponseHead

MILLISECONDS = 1000


@final
@attrs.define
class Reply:
    """Sends one head, then bytes, then the end or a reset."""

    stream: Stream
    started: bool = False

    def start(self, head: ResponseHead) -> bool:
        """Send the head of an answer; false when it is too large."""
        packed = pack(head)
        if len(packed) > CHUNK_BYTES:
            return False
        self.started = True
        self.stream.write(packed)
        return True

    def write(self, chunk: bytes) -> bool:
        """Send bytes of the answer; false means wait for ``writable``."""
        return self.stream.write(chunk)

    def end(self) -> None:
        """Send the end: the answer is whole."""
        self.stream.end()

    def refuse(
        self,
        reason: str,
        retry_after_seconds: float,
        load: LoadReport,
    ) -> None:
        """Say that the request has not run and will not."""
        self._conclude(
            ResponseHead(
                verdict=Verdict.not_run,
                reason=reason,
                retry_after_ms=retry_after_seconds * MILLISECONDS,
                load=load,
            ),
        )

    def break_off(self, reason: str, load: LoadReport) -> None:
        """Say that no whole answer will come."""
        if self.started:
            self.stream.reset(reason)
            return
        self._conclude(
            ResponseHead(verdict=Verdict.unknown, reason=reason, load=load),
        )

    def _conclude(self, head: ResponseHead) -> None:
        self.start(head)
        self.stream.end()

"""Writer of the messages that an agent sends on the stream of a request."""

from typing import final

import attrs

from wasabiturn.connection.streams import CHUNK_BYTES, Stream
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import CrashSuspicion, Verdict
from wasabiturn.messages.session import LoadReport, ResponseHead

MS_PER_SECOND = 1000


@final
@attrs.define
class ReplyWriter:
    """Sends a response head, then the body, then the end or a reset."""

    stream: Stream
    started: bool = False

    def start(self, head: ResponseHead) -> bool:
        """Send the response head; return false if it is too large."""
        packed = pack(head)
        if len(packed) > CHUNK_BYTES:
            return False
        self.started = True
        self.stream.write(packed)
        return True

    def write(self, chunk: bytes) -> bool:
        """Send part of the body.

        Return false if the sender must wait for ``writable`` before it
        sends more.
        """
        return self.stream.write(chunk)

    def end(self) -> None:
        """End the stream: the answer is complete."""
        self.stream.end()

    def refuse(
        self,
        reason: str,
        retry_after_seconds: float,
        load: LoadReport,
    ) -> None:
        """Report that the request has not run and will not run."""
        self._send_only_head(
            ResponseHead(
                verdict=Verdict.not_run,
                reason=reason,
                retry_after_ms=retry_after_seconds * MS_PER_SECOND,
                load=load,
            ),
        )

    def fail(
        self,
        reason: str,
        load: LoadReport,
        crash: CrashSuspicion = CrashSuspicion.none,
    ) -> None:
        """Report that no complete answer will follow."""
        if self.started:
            self.stream.reset(reason)
            return
        self._send_only_head(
            ResponseHead(
                verdict=Verdict.unknown,
                reason=reason,
                load=load,
                crash=crash,
            ),
        )

    def _send_only_head(self, head: ResponseHead) -> None:
        self.start(head)
        self.stream.end()

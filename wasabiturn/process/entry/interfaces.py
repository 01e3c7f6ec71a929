"""What an exchange needs of the caller's connection."""

from typing import Protocol

from wasabiturn.messages.state import Header
from wasabiturn.request.refusal import Refusal


class CallerSide(Protocol):
    """Where the answer of one request goes."""

    def send_head(self, status: int, headers: list[Header]) -> None:
        """Send status and headers of the answer."""

    def send_body(self, chunk: bytes) -> bool:
        """Send the next bytes; false means wait for ``resume_answer``."""

    def finish_answer(self) -> None:
        """Complete the answer."""

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal."""

    def abort(self) -> None:
        """Drop the connection: the answer cannot be completed."""

    def pause_body(self) -> None:
        """Read no more of the request's body for now."""

    def resume_body(self) -> None:
        """Go on reading the request's body."""


class AnswerSource(Protocol):
    """What the caller's connection tells of one request."""

    def body_received(self, chunk: bytes) -> None:
        """Take the next bytes of the request's body."""

    def body_ended(self) -> None:
        """Learn that the request is whole."""

    def caller_lost(self) -> None:
        """Learn that the caller has hung up."""

    def resume_answer(self) -> None:
        """Learn that the caller takes more of the answer."""

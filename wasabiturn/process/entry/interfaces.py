"""Interfaces between a caller's connection and the request's handler."""

from typing import Protocol

from wasabiturn.messages.state import Header
from wasabiturn.request.refusal import Refusal


class AnswerSink(Protocol):
    """Receiver of the answer to one request."""

    def send_head(self, status: int, headers: list[Header]) -> None:
        """Send the status and headers of the answer."""

    def send_body(self, chunk: bytes) -> bool:
        """Send bytes of the body; on false, wait for ``resume_answer``."""

    def finish_answer(self) -> None:
        """Complete the answer."""

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the answer."""

    def abort(self) -> None:
        """Abort the connection; the answer cannot be completed."""

    def pause_body(self) -> None:
        """Pause reading the request's body."""

    def resume_body(self) -> None:
        """Resume reading the request's body."""


class RequestHandler(Protocol):
    """Handler of one request; called by the caller's connection."""

    def body_received(self, chunk: bytes) -> None:
        """Handle bytes of the request's body."""

    def body_ended(self) -> None:
        """Handle the end of the request's body."""

    def caller_lost(self) -> None:
        """Handle a caller that has disconnected."""

    def resume_answer(self) -> None:
        """Resume sending the answer."""

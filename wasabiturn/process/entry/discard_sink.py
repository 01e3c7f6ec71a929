"""Caller's side of an answer that nobody waits for any more."""

from typing import final

from wasabiturn.messages.state import Header
from wasabiturn.request.refusal import Refusal


@final
class Discard:
    """Drops an answer; its caller was given a final one before."""

    def send_head(self, status: int, headers: list[Header]) -> None:
        """Drop status and headers."""

    def send_body(self, chunk: bytes) -> bool:
        """Drop bytes, and take more."""
        return True

    def finish_answer(self) -> None:
        """Do nothing."""

    def refuse(self, refusal: Refusal) -> None:
        """Drop a refusal."""

    def abort(self) -> None:
        """Do nothing."""

    def pause_body(self) -> None:
        """Do nothing."""

    def resume_body(self) -> None:
        """Do nothing."""

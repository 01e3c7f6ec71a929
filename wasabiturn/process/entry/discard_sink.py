"""Receiver of answers that no caller waits for any more."""

from typing import final

from wasabiturn.messages.state import Header
from wasabiturn.request.refusal import Refusal


@final
class DiscardSink:
    """Discards an answer whose caller has already been answered."""

    def send_head(self, status: int, headers: list[Header]) -> None:
        """Discard the status and headers."""

    def send_body(self, chunk: bytes) -> bool:
        """Discard bytes of the body."""
        return True

    def finish_answer(self) -> None:
        """Do nothing."""

    def refuse(self, refusal: Refusal) -> None:
        """Discard a refusal."""

    def abort(self) -> None:
        """Do nothing."""

    def pause_body(self) -> None:
        """Do nothing."""

    def resume_body(self) -> None:
        """Do nothing."""

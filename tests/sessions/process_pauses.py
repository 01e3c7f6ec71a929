"""Pauses of a simulated process: timers and answers wait until it goes on."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock


class Gate:
    """Calls into one process; while it is paused, they wait in their order."""

    def __init__(self) -> None:
        self._is_paused = False
        self._waiting: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []

    def pause(self) -> None:
        self._is_paused = True

    def resume(self) -> None:
        self._is_paused = False
        waiting = self._waiting
        self._waiting = []
        for call, arguments in waiting:
            self.run(call, *arguments)

    def run(self, call: Callable[..., Any], *arguments: Any) -> None:
        if self._is_paused:
            self._waiting.append((call, arguments))
        else:
            call(*arguments)

    def forward(self, answer: Deferred[Any]) -> Deferred[Any]:
        """Return a Deferred that gets ``answer`` once the process runs."""
        forwarded: Deferred[Any] = Deferred()
        answer.addBoth(lambda result: self.run(forwarded.callback, result))
        return forwarded


class GatedTimer:
    """Timer that also can be cancelled when it is due in a paused process."""

    def __init__(self, call: Callable[[], Any]) -> None:
        self._call = call
        self._is_active = True

    def active(self) -> bool:
        return self._is_active

    def cancel(self) -> None:
        self._is_active = False

    def fire(self) -> None:
        if self._is_active:
            self._is_active = False
            self._call()


class GatedClock:
    """Clock of one process; no timer fires while it is paused."""

    def __init__(self, clock: Clock, gate: Gate) -> None:
        self._clock = clock
        self._gate = gate

    def seconds(self) -> float:
        return float(self._clock.seconds())

    def callLater(
        self, delay: float, call: Callable[..., Any], *arguments: Any
    ) -> GatedTimer:
        timer = GatedTimer(lambda: call(*arguments))
        self._clock.callLater(delay, self._gate.run, timer.fire)
        return timer

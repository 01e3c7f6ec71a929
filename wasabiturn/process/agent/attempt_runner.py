"""Work that the agent asks of its worker."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Protocol, final

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from wasabiturn.connection.worker_messages import (
    Listing,
    RefusedByPlatformError,
    RunName,
    RunRequest,
)
from wasabiturn.process.agent.attempt_actions import (
    Action,
    CheckpointRun,
    EvictRun,
    ForgetRun,
    RenewLeases,
    StartRun,
    StopRun,
    ThrottleRun,
)
from wasabiturn.utils.logs import create_part_log

_log = create_part_log('attempts')


class Platform(Protocol):
    """The part of the worker client that attempts need."""

    def fetch_listing(self) -> Deferred[Listing]:
        """Fetch what the worker runs."""

    def start(self, request: RunRequest) -> Deferred[None]:
        """Start a run under a lease."""

    def renew(self, names: list[RunName], until: float) -> Deferred[None]:
        """Prolong leases."""

    def throttle(self, name: RunName, share: float) -> Deferred[None]:
        """Limit the speed of a run."""

    def checkpoint(self, name: RunName) -> Deferred[str]:
        """Save progress."""

    def stop(self, name: RunName) -> Deferred[None]:
        """Stop a run."""

    def forget(self, name: RunName) -> Deferred[None]:
        """Drop an ended run."""

    def close(self) -> Deferred[None]:
        """Close connections."""


@final
class ActionRunner:
    """Carries out actions on the worker.

    ``on_started`` and ``on_refused`` are called with the task and attempt
    once the platform has said so; any other outcome is left to its listing.
    """

    def __init__(
        self,
        platform: Platform,
        on_started: Callable[[RunName], None],
        on_refused: Callable[[RunName, str], None],
    ) -> None:
        """Create a runner with nothing under way."""
        self._platform = platform
        self._on_started = on_started
        self._on_refused = on_refused
        self._evicting: set[RunName] = set()

    @singledispatchmethod
    def carry_out(self, action: Action) -> None:
        """Ask the worker for ``action``; failures are logged."""
        raise TypeError(f'no way to carry out {type(action).__name__}')

    @carry_out.register
    def _(self, action: StartRun) -> None:
        request = action.request
        name = RunName(task=request.task, attempt=request.attempt)
        started = self._platform.start(request)
        started.addCallback(lambda _: self._on_started(name))
        started.addErrback(self._take_refusal, name)
        started.addErrback(log_failure)
        _log.event('starts', task=request.task, attempt=request.attempt)

    @carry_out.register
    def _(self, action: RenewLeases) -> None:
        renewed = self._platform.renew(list(action.names), action.until)
        renewed.addErrback(log_failure)

    @carry_out.register
    def _(self, action: ThrottleRun) -> None:
        throttled = self._platform.throttle(action.name, action.share)
        throttled.addErrback(log_failure)

    @carry_out.register
    def _(self, action: StopRun) -> None:
        self._platform.stop(action.name).addErrback(log_failure)

    @carry_out.register
    def _(self, action: CheckpointRun) -> None:
        self._platform.checkpoint(action.name).addErrback(log_failure)

    @carry_out.register
    def _(self, action: ForgetRun) -> None:
        self._platform.forget(action.name).addErrback(log_failure)

    @carry_out.register
    def _(self, action: EvictRun) -> None:
        if action.name in self._evicting:
            return
        self._evicting.add(action.name)
        evicted = self._checkpoint(action)
        evicted.addErrback(log_failure)
        evicted.addBoth(lambda _: self._evicting.discard(action.name))

    def _checkpoint(self, action: EvictRun) -> Deferred[None]:
        saved: Deferred[bool] = self._platform.checkpoint(
            action.name,
        ).addCallback(bool)
        saved.addErrback(_log_as_unsaved)
        return saved.addCallback(self._stop_saved, action)

    def _stop_saved(self, is_saved: bool, action: EvictRun) -> Deferred[None]:
        if is_saved or action.may_lose_progress:
            return self._platform.stop(action.name)
        return succeed(None)

    def _take_refusal(self, failure: Failure, name: RunName) -> None:
        failure.trap(RefusedByPlatformError)
        self._on_refused(name, str(failure.value))


def log_failure(failure: Failure) -> None:
    """Log a step that failed and that a later one repeats."""
    _log.warning('step failed', error=repr(failure.value))


def _log_as_unsaved(failure: Failure) -> bool:
    log_failure(failure)
    return False

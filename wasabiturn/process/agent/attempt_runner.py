"""Execution of actions on the worker."""

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
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('attempts')


class Platform(Protocol):
    """The part of the worker client that attempts need."""

    def fetch_listing(self) -> Deferred[Listing]:
        """Fetch the runs, capacity and usage of the worker."""

    def start(self, request: RunRequest) -> Deferred[None]:
        """Start a run under a lease."""

    def renew(self, names: list[RunName], until: float) -> Deferred[None]:
        """Extend the leases of runs to ``until``."""

    def throttle(self, name: RunName, share: float) -> Deferred[None]:
        """Limit the speed of a run."""

    def checkpoint(self, name: RunName) -> Deferred[str]:
        """Save the progress of a run; fires with the checkpoint or empty."""

    def stop(self, name: RunName) -> Deferred[None]:
        """Stop a run."""

    def forget(self, name: RunName) -> Deferred[None]:
        """Remove an ended run from the listing."""

    def close(self) -> Deferred[None]:
        """Close connections."""


@final
class ActionRunner:
    """Carries out actions on the worker.

    ``on_started`` and ``on_refused`` are called with the task and attempt
    when the worker confirms or refuses a start. Any other outcome is
    learned from the worker's listing.
    """

    def __init__(
        self,
        platform: Platform,
        on_started: Callable[[RunName], None],
        on_refused: Callable[[RunName, str], None],
    ) -> None:
        """Create a runner without pending actions."""
        self._platform = platform
        self._on_started = on_started
        self._on_refused = on_refused
        self._evicting: set[RunName] = set()

    @singledispatchmethod
    def carry_out(self, action: Action) -> None:
        """Send ``action`` to the worker; failures are logged."""
        raise TypeError(f'unsupported action: {type(action).__name__}')

    @carry_out.register
    def _(self, action: StartRun) -> None:
        request = action.request
        name = RunName(task=request.task, attempt=request.attempt)
        started = self._platform.start(request)
        started.addCallback(lambda _: self._on_started(name))
        started.addErrback(self._report_refusal, name)
        started.addErrback(log_failure)
        _log.event(
            'start requested',
            task=request.task,
            attempt=request.attempt,
        )

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
        evicted = self._save_and_stop(action)
        evicted.addErrback(log_failure)
        evicted.addBoth(lambda _: self._evicting.discard(action.name))

    def _save_and_stop(self, action: EvictRun) -> Deferred[None]:
        saved: Deferred[bool] = self._platform.checkpoint(
            action.name,
        ).addCallback(bool)
        saved.addErrback(_log_failed_save)
        return saved.addCallback(self._stop_if_saved, action)

    def _stop_if_saved(
        self, is_saved: bool, action: EvictRun
    ) -> Deferred[None]:
        if is_saved or action.may_lose_progress:
            return self._platform.stop(action.name)
        return succeed(None)

    def _report_refusal(self, failure: Failure, name: RunName) -> None:
        failure.trap(RefusedByPlatformError)
        self._on_refused(name, str(failure.value))


def log_failure(failure: Failure) -> None:
    """Log a failed operation; a later poll or heartbeat acts again."""
    _log.warning('attempt operation failed', error=repr(failure.value))


def _log_failed_save(failure: Failure) -> bool:
    log_failure(failure)
    return False

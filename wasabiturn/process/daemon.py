"""Lifecycle of a daemon: settings, log, metrics, signals and clean-up."""

import signal
import sys
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Protocol, TextIO, final

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from wasabiturn.conf.sections import Settings
from wasabiturn.connection.client_guard import DEFAULT_BACKLOG
from wasabiturn.exceptions import ProcessError, WasabiturnError
from wasabiturn.utils.clock import use_boot_clock
from wasabiturn.utils.logs import create_component_log, open_log_output
from wasabiturn.utils.metrics import Metrics, create_metrics
from wasabiturn.utils.rate_limited_lines import (
    RateLimitedLines,
    open_rate_limited_lines,
)

_log = create_component_log('process')


class Component(Protocol):
    """A program that a daemon runs, or a component of one."""

    def start(self) -> None:
        """Open ports and begin to work.

        Raises:
            ProcessError: the component cannot start; the message says why.
        """

    def drain(self) -> Deferred[None]:
        """Stop gracefully; the result fires once no work is in progress."""

    def close(self) -> None:
        """Release ports and files."""


def _raise_error(error: WasabiturnError) -> None:
    raise error


@final
@attrs.define
class Context:
    """Objects that all programs of one process share."""

    settings: Settings
    reactor: Any
    metrics: Metrics
    # Called by ``fail``; the daemon sets it.
    on_failure: Callable[[WasabiturnError], None] = attrs.field(
        default=_raise_error,
    )
    # Called on SIGHUP.
    on_reload: list[Callable[[], None]] = attrs.field(factory=list)

    def fail(self, error: WasabiturnError) -> None:
        """Stop the process at once, without draining, with exit status 1."""
        self.on_failure(error)


ComponentFactory = Callable[[Context], Component]


def run_daemon(settings: Settings, factories: list[ComponentFactory]) -> int:
    """Run programs on one event loop until SIGTERM or SIGINT.

    Return the exit status of the process.
    """
    from twisted.internet import reactor

    use_boot_clock(reactor)
    with ExitStack() as stack:
        try:
            _open_log(settings, stack)
            daemon = _Daemon(_create_context(settings, reactor), stack)
            daemon.start(factories)
        except (WasabiturnError, CannotListenError, OSError) as error:
            sys.stderr.write(f'wasabiturn: {error}\n')
            return 1
        daemon.run()
        return daemon.exit_status


def _create_context(settings: Settings, reactor: Any) -> Context:
    statsd = settings.metrics.statsd
    address = (statsd.host, statsd.port) if statsd else None
    prefix = f'{settings.metrics.prefix}.{settings.instance.name}'
    return Context(
        settings=settings,
        reactor=reactor,
        metrics=create_metrics(address, prefix),
    )


def _open_log(settings: Settings, stack: ExitStack) -> None:
    output = open_log_output(
        _open_log_stream(settings.logging.file, stack),
        settings.logging.level,
    )
    stack.callback(output.close)


def _open_log_stream(
    log_file: Path | None,
    stack: ExitStack,
) -> TextIO | RateLimitedLines:
    if log_file is None:
        return open_rate_limited_lines(sys.stdout.fileno())
    log_file.parent.mkdir(parents=True, exist_ok=True)
    return stack.enter_context(
        log_file.open('a', encoding='utf-8', buffering=1),
    )


@final
class _Daemon:
    def __init__(self, context: Context, stack: ExitStack) -> None:
        self.exit_status = 0
        self._context = context
        self._stack = stack
        self._components: list[Component] = []
        self._stopping = False
        context.on_failure = self._fail

    def start(self, factories: list[ComponentFactory]) -> None:
        """Start each program, in order.

        SIGHUP would end the process by default. One that comes meanwhile is
        handled once the event loop runs.
        """
        signal.signal(signal.SIGHUP, self._on_sighup)
        for factory in factories:
            component = factory(self._context)
            self._stack.callback(component.close)
            component.start()
            self._components.append(component)
        name = self._context.settings.instance.name
        _log.event('started', instance=name)

    def run(self) -> None:
        """Run the event loop until the programs have drained."""
        reactor = self._context.reactor
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        reactor.run(installSignalHandlers=False)

    def _fail(self, error: WasabiturnError) -> None:
        _log.warning('fatal error', error=str(error))
        sys.stderr.write(f'wasabiturn: {error}\n')
        self.exit_status = 1
        if not self._stopping:
            self._stopping = True
            self._context.reactor.callLater(0, self._context.reactor.stop)

    def _on_signal(self, number: int, frame: Any) -> None:
        self._context.reactor.callFromThread(self._drain)

    def _on_sighup(self, number: int, frame: Any) -> None:
        self._context.reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        _log.event('reloading')
        for callback in self._context.on_reload:
            callback()

    def _drain(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        _log.event('draining')
        self._drain_next(list(reversed(self._components)))

    def _drain_next(self, components: list[Component]) -> None:
        if not components:
            _log.event('stopped')
            self._context.reactor.stop()
            return
        drained = components[0].drain()
        drained.addErrback(self._log_failure)
        drained.addBoth(lambda _: self._drain_next(components[1:]))

    def _log_failure(self, failure: Any) -> None:
        _log.warning('program failed to drain', error=repr(failure.value))
        self.exit_status = 1


def listen(
    reactor: Any,
    endpoint: Any,
    factory: Any,
    backlog: int = DEFAULT_BACKLOG,
) -> Any:
    """Listen on ``endpoint``; the caller owns the returned port.

    ``backlog`` new connections wait until the loop accepts them. Beyond it,
    clients send their first packet again after a second and more.

    Raises:
        ProcessError: the port is in use or not permitted.
    """
    try:
        return reactor.listenTCP(
            endpoint.port,
            factory,
            backlog=backlog,
            interface=endpoint.host,
        )
    except CannotListenError as error:
        raise ProcessError(
            f'cannot listen on {endpoint}: {error.socketError}; '
            'stop what uses the port or change it in the settings',
        ) from error

"""``wasabiturn watch``: print changes of the resources of one kind."""

import json
from collections.abc import Callable
from typing import Annotated, Any, final

import typer
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.management.exit_codes import ExitCode
from wasabiturn.management.http_client import (
    ApiClient,
    ApiError,
    HttpRequest,
)
from wasabiturn.management.http_sender import HttpClientSender
from wasabiturn.management.options import (
    DEFAULT_OUTPUT,
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT,
    OutputFormat,
    OutputOption,
    ServerOption,
)
from wasabiturn.management.output import describe_spec
from wasabiturn.management.running import run_command
from wasabiturn.management.watch_reader import NO_REVISION, WatchReader

SILENCE_TIMEOUT_SECONDS = 3.0
RETRY_DELAY_SECONDS = 0.5
SILENCE_CHECK_INTERVAL_SECONDS = 0.5
_OK_STATUS = 200
_UNAVAILABLE_STATUS = 503


def watch(
    kind: Annotated[str, typer.Argument(help='services, jobs, tasks, ...')],
    since: Annotated[
        int,
        typer.Option(
            help='Start after this revision; -1 for a snapshot first.'
        ),
    ] = NO_REVISION,
    server: ServerOption = DEFAULT_SERVER,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Print the resources of KIND, then each change, until interrupted.

    If the connection is lost or silent, reconnects to the next server and
    resumes after the last revision received.
    """

    def follow(client: ApiClient) -> Deferred[None]:
        reader = WatchReader(revision=since)
        return Watcher(client, kind, reader, _create_printer(output)).start()

    run_command(server, DEFAULT_TIMEOUT, follow)


@final
class Watcher:
    """Keeps a watch open; reconnects to the next server if it is lost."""

    def __init__(
        self,
        client: ApiClient,
        kind: str,
        reader: WatchReader,
        handle_event: Callable[[dict[str, Any]], None],
    ) -> None:
        """Create a watcher; ``handle_event`` is called for each new event."""
        self.reader = reader
        self.handle_event = handle_event
        self.clock = client.clock
        self._client = client
        self._kind = kind
        self._completion: Deferred[None] = Deferred()

    def start(self) -> Deferred[None]:
        """Connect; fail with ``ApiError`` if a server refuses the watch.

        The Deferred never fires with a result.
        """
        self._connect()
        return self._completion

    def reconnect(self) -> None:
        """Connect again after ``RETRY_DELAY_SECONDS``."""
        self.clock.callLater(RETRY_DELAY_SECONDS, self._connect)

    def _connect(self) -> None:
        since = self.reader.revision
        request = HttpRequest(
            method='GET',
            path=f'/v1/{self._kind}?watch=1&since={since}',
            headers=self._client.headers(),
        )
        sender: Any = self._client.sender
        opened = _open(
            sender, self._client.choose_server(), request, self.clock
        )
        opened.addCallbacks(self._on_open, lambda _: self.reconnect())
        opened.addErrback(self._completion.errback)

    def _on_open(self, response: Any) -> None:
        if response.code == _UNAVAILABLE_STATUS:
            self.reconnect()
        elif response.code == _OK_STATUS:
            response.deliverBody(WatchProtocol(self))
        else:
            text = f'the server refused the watch with status {response.code}'
            raise ApiError(text, ExitCode.refused, response.code)


@final
class WatchProtocol(Protocol):
    """Receives the body of one response; aborts a silent connection."""

    def __init__(self, watcher: Watcher) -> None:
        """Create a protocol that passes events to ``watcher``."""
        self._watcher = watcher
        self._silence_timer = LoopingCall(self._check_silence)
        self._silence_timer.clock = watcher.clock

    def connectionMade(self) -> None:
        """Start to check the connection for silence."""
        self._watcher.reader.start_connection(self._watcher.clock.seconds())
        self._silence_timer.start(SILENCE_CHECK_INTERVAL_SECONDS, now=False)

    def dataReceived(self, data: bytes) -> None:
        """Pass on new events; abort the connection if the data is invalid."""
        now = self._watcher.clock.seconds()
        try:
            events = self._watcher.reader.feed(data, now)
        except (ValueError, KeyError):
            self._abort()
            return
        for event in events:
            self._watcher.handle_event(event)

    def connectionLost(self, reason: TwistedFailure | None = None) -> None:
        """Stop the check and reconnect."""
        if self._silence_timer.running:
            self._silence_timer.stop()
        self._watcher.reconnect()

    def _check_silence(self) -> None:
        now = self._watcher.clock.seconds()
        if self._watcher.reader.is_silent(now, SILENCE_TIMEOUT_SECONDS):
            self._abort()

    def _abort(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()


def _open(
    sender: HttpClientSender,
    server: str,
    request: HttpRequest,
    clock: Any,
) -> Deferred[Any]:
    opened = sender.open(server, request)
    return opened.addTimeout(SILENCE_TIMEOUT_SECONDS, clock)


def _create_printer(output: OutputFormat) -> Callable[[dict[str, Any]], None]:
    return _print_json if output is OutputFormat.json else _print_row


def _print_json(event: dict[str, Any]) -> None:
    typer.echo(json.dumps(event, sort_keys=True))


def _print_row(event: dict[str, Any]) -> None:
    for item in event.get('items', [event.get('resource')]):
        if item is not None:
            spec = describe_spec(item['spec'])
            prefix = f'{event["type"]:8} {item["revision"]:8}'
            typer.echo(f'{prefix} {item["name"]:24} {spec}')

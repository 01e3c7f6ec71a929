"""``wasabiturn watch``: follow the changes of a kind."""

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
    Output,
    OutputOption,
    ServerOption,
)
from wasabiturn.management.output import describe_spec
from wasabiturn.management.running import run_command
from wasabiturn.management.watch_reader import NO_REVISION, WatchReader

SILENCE_SECONDS = 3.0
RETRY_SECONDS = 0.5
CHECK_SECONDS = 0.5
_DONE_STATUS = 200
_UNAVAILABLE_STATUS = 503


def watch(
    kind: Annotated[str, typer.Argument(help='services, jobs, tasks, ...')],
    since: Annotated[
        int,
        typer.Option(help='Begin after this revision; -1 for a snapshot.'),
    ] = NO_REVISION,
    server: ServerOption = DEFAULT_SERVER,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Print the resources of KIND, then each change, until interrupted.

    A connection that is lost or silent is replaced by another one, which
    goes on after the last revision that was printed.
    """

    def follow(client: ApiClient) -> Deferred[None]:
        reader = WatchReader(revision=since)
        return Follower(client, kind, reader, _create_printer(output)).start()

    run_command(server, DEFAULT_TIMEOUT, follow)


@final
class Follower:
    """Keeps one watch open, at one server after the other."""

    def __init__(
        self,
        client: ApiClient,
        kind: str,
        reader: WatchReader,
        show: Callable[[dict[str, Any]], None],
    ) -> None:
        """Create the follower of ``kind``; ``show`` takes each event."""
        self.reader = reader
        self.show = show
        self.clock = client.clock
        self._client = client
        self._kind = kind
        self._ended: Deferred[None] = Deferred()

    def start(self) -> Deferred[None]:
        """Connect; fires only with an ``ApiError`` that is final."""
        self._connect()
        return self._ended

    def reconnect(self) -> None:
        """Connect again after a short wait."""
        self.clock.callLater(RETRY_SECONDS, self._connect)

    def _connect(self) -> None:
        since = self.reader.revision
        request = HttpRequest(
            method='GET',
            path=f'/v1/{self._kind}?watch=1&since={since}',
            headers=self._client.headers(),
        )
        sender: Any = self._client.sender
        opened = _open(sender, self._client.take_server(), request, self.clock)
        opened.addCallbacks(self._on_open, lambda _: self.reconnect())
        opened.addErrback(self._ended.errback)

    def _on_open(self, response: Any) -> None:
        if response.code == _UNAVAILABLE_STATUS:
            self.reconnect()
        elif response.code == _DONE_STATUS:
            response.deliverBody(WatchBody(self))
        else:
            text = f'the watch was refused with status {response.code}'
            raise ApiError(text, ExitCode.refused, response.code)


@final
class WatchBody(Protocol):
    """Body of one connection; aborts it when it falls silent."""

    def __init__(self, follower: Follower) -> None:
        """Create the body that feeds ``follower``."""
        self._follower = follower
        self._checker = LoopingCall(self._check)
        self._checker.clock = follower.clock

    def connectionMade(self) -> None:
        """Begin to watch for silence."""
        self._follower.reader.restart(self._follower.clock.seconds())
        self._checker.start(CHECK_SECONDS, now=False)

    def dataReceived(self, data: bytes) -> None:
        """Show what is new."""
        now = self._follower.clock.seconds()
        try:
            events = self._follower.reader.feed(data, now)
        except (ValueError, KeyError):
            self._abort()
            return
        for event in events:
            self._follower.show(event)

    def connectionLost(self, reason: TwistedFailure | None = None) -> None:
        """Go on with another connection."""
        if self._checker.running:
            self._checker.stop()
        self._follower.reconnect()

    def _check(self) -> None:
        now = self._follower.clock.seconds()
        if self._follower.reader.is_silent(now, SILENCE_SECONDS):
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
    return opened.addTimeout(SILENCE_SECONDS, clock)


def _create_printer(output: Output) -> Callable[[dict[str, Any]], None]:
    return _print_json if output is Output.json else _print_row


def _print_json(event: dict[str, Any]) -> None:
    typer.echo(json.dumps(event, sort_keys=True))


def _print_row(event: dict[str, Any]) -> None:
    for item in event.get('items', [event.get('resource')]):
        if item is not None:
            spec = describe_spec(item['spec'])
            heading = f'{event["type"]:8} {item["revision"]:8}'
            typer.echo(f'{heading} {item["name"]:24} {spec}')

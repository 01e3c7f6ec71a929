"""Handlers that a process offers on its links."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, final

import attrs

from wasabiturn.connection.streams import Stream
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.link import Hello

if TYPE_CHECKING:
    from wasabiturn.connection.link import Link

CallHandler = Callable[['Link', Any], Any]
StreamHandler = Callable[['Link', Any, Stream], None]


@final
@attrs.define
class CallRoute:
    """Handler of one method, with the class of its message."""

    message_class: type
    handler: CallHandler


@final
@attrs.define
class StreamRoute:
    """Handler of one kind of stream, with the class of its head."""

    head_class: type
    handler: StreamHandler


@final
@attrs.define
class Dispatch:
    """Handlers that a process offers on its links, and its own hello."""

    hello: Hello
    revision: Callable[[], int] = int
    calls_by_method: dict[int, CallRoute] = attrs.field(factory=dict)
    streams_by_method: dict[int, StreamRoute] = attrs.field(factory=dict)
    on_open: list[Callable[['Link'], None]] = attrs.field(factory=list)
    on_close: list[Callable[['Link'], None]] = attrs.field(factory=list)

    def handle(
        self,
        method: Method,
        message_class: type,
        handler: CallHandler,
    ) -> None:
        """Register the handler of calls and notices of ``method``.

        A call's handler returns the reply or a Deferred of it and raises
        ``CallError`` to refuse; a notice's result is dropped.
        """
        self.calls_by_method[method] = CallRoute(message_class, handler)

    def handle_stream(
        self,
        method: Method,
        head_class: type,
        handler: StreamHandler,
    ) -> None:
        """Register the handler of streams that a peer opens."""
        self.streams_by_method[method] = StreamRoute(head_class, handler)

"""Registry of the handlers of calls, notices and streams of a process."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, final

import attrs

from wasabiturn.connection.streams import Stream
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.link import Hello

if TYPE_CHECKING:
    from wasabiturn.connection.link import Link

# Of a link whose process has no bounds of its own.
MAX_UNSENT_BYTES = 16_000_000

CallHandler = Callable[['Link', Any], Any]
StreamHandler = Callable[['Link', Any, Stream], None]


def _count_nothing() -> None:
    """Do nothing, in a process without metrics."""


@final
@attrs.define
class CallRoute:
    """Handler of calls or notices of one method, with its message class.

    One that ``drops_expired`` gets no call whose sender waits no longer.
    """

    message_class: type
    handler: CallHandler
    drops_expired: bool = False


@final
@attrs.define
class StreamRoute:
    """Handler of streams of one method, with the class of their head."""

    head_class: type
    handler: StreamHandler


@final
@attrs.define
class Dispatch:
    """Handlers that a process registers for its links, and its own hello.

    ``revision`` returns the revision that is sent with each frame. A link that
    keeps more than ``max_unsent_bytes`` carries no further calls and notices.
    """

    hello: Hello
    revision: Callable[[], int] = int
    max_unsent_bytes: int = MAX_UNSENT_BYTES
    # Called for each call or notice that a link does not carry for that.
    count_unsent: Callable[[], None] = _count_nothing
    calls_by_method: dict[int, CallRoute] = attrs.field(factory=dict)
    streams_by_method: dict[int, StreamRoute] = attrs.field(factory=dict)
    on_open: list[Callable[['Link'], None]] = attrs.field(factory=list)
    on_close: list[Callable[['Link'], None]] = attrs.field(factory=list)

    def handle(
        self,
        method: Method,
        message_class: type,
        handler: CallHandler,
        drops_expired: bool = False,
    ) -> None:
        """Register the handler of calls and notices of ``method``.

        For a call, the handler returns the reply or a Deferred of it, or
        raises ``CallError`` to refuse. The result of a notice is ignored. Set
        ``drops_expired`` for what must not be begun late, as its sender may
        have sent the opposite since.
        """
        self.calls_by_method[method] = CallRoute(
            message_class, handler, drops_expired
        )

    def handle_stream(
        self,
        method: Method,
        head_class: type,
        handler: StreamHandler,
    ) -> None:
        """Register the handler of streams of ``method`` that peers open."""
        self.streams_by_method[method] = StreamRoute(head_class, handler)

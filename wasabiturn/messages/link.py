"""Messages of the link between two processes.

Field numbers and units are in ``wire/link.thrift``.
"""

from typing import final

import attrs

from wasabiturn.messages.codec import bind
from wasabiturn.messages.idl import load_idl
from wasabiturn.messages.kinds import FailureCode, FrameKind, Method, Role

_idl = load_idl('link.thrift')


@bind(_idl)
@final
@attrs.define
class Frame:
    """Frame of a link; ``revision`` is the newest that the sender has applied.

    ``sent_ms`` is on the sender's clock. The sender of a call waits for its
    reply until the receiver's clock shows ``expires_ms``; 0 if not known.

    Kind and method are plain integers, since a peer of a newer version may
    send values that this version does not know.
    """

    kind: int = FrameKind.heartbeat
    exchange: int = 0
    method: int = Method.none
    body: bytes = b''
    revision: int = 0
    sent_ms: int = 0
    expires_ms: int = 0


@bind(_idl)
@final
@attrs.define
class StateBudget:
    """Room for jobs in the replicated state of one member of the group.

    ``memory_bytes`` are for all copies that it may have at a time, while
    ``stored_bytes`` are those of one snapshot.
    """

    memory_bytes: int = 0
    stored_bytes: int = 0


@bind(_idl)
@final
@attrs.define
class Hello:
    """First message of each side of a link.

    Members of the control group send their ``state_budget``.
    """

    name: str = ''
    role: Role = attrs.field(default=Role.unknown, converter=Role)
    incarnation: str = ''
    data_centre: str = ''
    protocol_version: int = 0
    state_budget: StateBudget | None = None


@bind(_idl)
@final
@attrs.define
class Failure:
    """Reply to a call that failed."""

    code: FailureCode = attrs.field(
        default=FailureCode.internal, converter=FailureCode
    )
    text: str = ''
    leader: str = ''


@bind(_idl)
@final
@attrs.define
class Credit:
    """Permission to send ``amount`` more bytes on a stream."""

    amount: int = 0


@bind(_idl)
@final
@attrs.define
class Nothing:
    """Message without content."""

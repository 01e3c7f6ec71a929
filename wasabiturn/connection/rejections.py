"""Causes for which a client is rejected or its connection is closed."""

import enum
from typing import final


@final
class RejectionCause(enum.StrEnum):
    """Limit that a client has met; the value is a label of a metric."""

    malformed = 'malformed'
    head_size = 'head_size'
    body_size = 'body_size'
    framing = 'framing'
    head_timeout = 'head_timeout'
    body_rate = 'body_rate'
    frame_rate = 'frame_rate'
    # Not counted: the ordinary end of a connection.
    idle = 'idle'
    unread = 'unread'
    memory = 'memory'
    connections = 'connections'

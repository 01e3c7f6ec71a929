"""Limits of the HTTP messages that one address accepts."""

from typing import final

import attrs

MAX_HEAD_BYTES = 65_536
# A configuration of hundreds of routes takes up to a few MB.
MAX_BODY_BYTES = 8_388_608
# A job has a few KB: a specification of up to 4,000 bytes, and its steps.
MAX_CALLER_BODY_BYTES = 1_048_576
# A heartbeat has some hundred bytes, and some KB with many labels.
MAX_HEARTBEAT_BODY_BYTES = 1_048_576
MAX_HEADER_FIELDS = 100
HEAD_TIMEOUT_SECONDS = 10.0
# Longer than clients keep an idle connection open.
IDLE_TIMEOUT_SECONDS = 75.0


@final
@attrs.frozen
class HttpLimits:
    """Limits in bytes and seconds; the defaults are for trusted clients."""

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    max_header_fields: int = MAX_HEADER_FIELDS
    head_timeout_seconds: float = HEAD_TIMEOUT_SECONDS
    idle_timeout_seconds: float = IDLE_TIMEOUT_SECONDS


DEFAULT_LIMITS = HttpLimits()
# Before a configuration sets others.
CALLER_LIMITS = HttpLimits(max_body_bytes=MAX_CALLER_BODY_BYTES)
HEARTBEAT_LIMITS = HttpLimits(max_body_bytes=MAX_HEARTBEAT_BODY_BYTES)

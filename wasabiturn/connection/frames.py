"""Framing of messages: length, CRC-32 and payload.

A frame that is too long or has a wrong CRC ends the connection, since nothing
after it can be trusted.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import final

import attrs

from wasabiturn.exceptions import ConnectionLayerError

MAX_FRAME_BYTES = 8 * 1024 * 1024
# The first frame of a link is a hello; its sender may be anyone.
MAX_FIRST_FRAME_BYTES = 65_536

_HEADER = struct.Struct('!II')


class FrameError(ConnectionLayerError):
    """A frame is too long or has a wrong CRC."""


@final
@attrs.define
class FrameBuffer:
    """Buffer of received bytes that do not yet form a whole frame."""

    max_frame_bytes: int = MAX_FRAME_BYTES
    pending: bytearray = attrs.field(factory=bytearray)

    def feed(self, received: bytes) -> Iterator[bytes]:
        """Yield the payload of each frame that ``received`` completes.

        Raises:
            FrameError: a frame is too long or has a wrong CRC.
        """
        self.pending.extend(received)
        while len(self.pending) >= _HEADER.size:
            length, crc = _HEADER.unpack_from(self.pending)
            if length > self.max_frame_bytes:
                raise FrameError(f'frame of {length} bytes is over the limit')
            end = _HEADER.size + length
            if len(self.pending) < end:
                return
            payload = bytes(self.pending[_HEADER.size : end])
            del self.pending[:end]
            _check_crc(payload, crc)
            yield payload


def encode_frame(payload: bytes) -> bytes:
    """Return ``payload`` as a frame with its header.

    Raises:
        FrameError: the payload is too long.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameError(f'frame of {len(payload)} bytes is over the limit')
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _check_crc(payload: bytes, crc: int) -> None:
    if zlib.crc32(payload) != crc:
        raise FrameError('frame has a wrong CRC')

"""Record format: magic, length, sequence number and CRC-32, then the payload.

The header has a CRC of its own, so that a damaged length is detected.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import final

import attrs

_MAGIC = b'WTR\x01'
_HEADER = struct.Struct('!4sIQII')
_HEADER_CRC = struct.Struct('!I')
_PREFIX_SIZE = _HEADER.size - _HEADER_CRC.size


@final
@attrs.frozen
class _Header:
    magic: bytes
    length: int
    sequence: int
    payload_crc: int
    header_crc: int


@final
@attrs.frozen
class Record:
    """A complete record and the offset of its end."""

    sequence: int
    payload: bytes
    end: int


def encode_header(sequence: int, payload: bytes) -> bytes:
    """Return the header that precedes ``payload`` in its record."""
    head = _HEADER.pack(_MAGIC, len(payload), sequence, zlib.crc32(payload), 0)
    prefix = head[:_PREFIX_SIZE]
    return prefix + _HEADER_CRC.pack(zlib.crc32(prefix))


def encode_record(sequence: int, payload: bytes) -> bytes:
    """Return ``payload`` preceded by a record header."""
    return encode_header(sequence, payload) + payload


def decode_record(content: bytes, start: int) -> Record | None:
    """Return the record at ``start``, or ``None`` if it is torn or damaged."""
    if len(content) - start < _HEADER.size:
        return None
    header = _Header(*_HEADER.unpack_from(content, start))
    prefix = content[start : start + _PREFIX_SIZE]
    if header.magic != _MAGIC or zlib.crc32(prefix) != header.header_crc:
        return None
    first = start + _HEADER.size
    end = first + header.length
    payload = content[first:end]
    if end > len(content) or zlib.crc32(payload) != header.payload_crc:
        return None
    return Record(sequence=header.sequence, payload=payload, end=end)


def decode_records(content: bytes) -> Iterator[Record]:
    """Yield records from the start up to the first torn or damaged one."""
    start = 0
    record = decode_record(content, start)
    while record is not None:
        yield record
        start = record.end
        record = decode_record(content, start)


def find_record_after(content: bytes, start: int) -> int | None:
    """Return the offset of an intact record after ``start``, if there is one.

    A crash tears only the last record, because the one before it was synced.
    An intact record after a broken one therefore means damage.
    """
    found = content.find(_MAGIC, start + 1)
    while found >= 0:
        if decode_record(content, found) is not None:
            return found
        found = content.find(_MAGIC, found + 1)
    return None

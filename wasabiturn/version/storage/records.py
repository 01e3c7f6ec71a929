"""Framing of records: magic, length, sequence number and CRC-32.

The header has a CRC of its own, so that a damaged length is noticed.
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
    """One whole record and where it ends."""

    sequence: int
    payload: bytes
    end: int


def encode_record(sequence: int, payload: bytes) -> bytes:
    """Return ``payload`` with its header."""
    head = _HEADER.pack(_MAGIC, len(payload), sequence, zlib.crc32(payload), 0)
    prefix = head[:_PREFIX_SIZE]
    return prefix + _HEADER_CRC.pack(zlib.crc32(prefix)) + payload


def decode_record(content: bytes, start: int) -> Record | None:
    """Return the record at ``start``, or ``None`` if there is no whole one."""
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
    """Yield the whole records from the start up to the first that is not."""
    start = 0
    record = decode_record(content, start)
    while record is not None:
        yield record
        start = record.end
        record = decode_record(content, start)


def find_record_after(content: bytes, start: int) -> int | None:
    """Return where a whole record begins after ``start``, if one does.

    A crash tears only the last record, because the one before was synced. A
    whole record beyond a broken one therefore means damage.
    """
    found = content.find(_MAGIC, start + 1)
    while found >= 0:
        if decode_record(content, found) is not None:
            return found
        found = content.find(_MAGIC, found + 1)
    return None

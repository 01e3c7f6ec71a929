"""Binding of typed messages to the structs of the thrift IDL.

A message is an ``attrs`` class named like its struct in ``wire/*.thrift``.
The IDL is read when the package is imported, so there is no generated code.
"""

from pathlib import Path
from typing import Any, TypeVar

import attrs
import thriftpy2
from thriftpy2.protocol.cybin import (  # type: ignore[attr-defined]
    TCyBinaryProtocol,
)
from thriftpy2.transport import TCyMemoryBuffer

from wasabiturn.exceptions import ConnectionLayerError

_IDL_FOLDER = Path(__file__).parent / 'wire'
_classes_by_name: dict[str, type] = {}

MessageType = TypeVar('MessageType')


class CodecError(ConnectionLayerError):
    """Bytes do not hold the expected message, or a message is out of form."""


def load_idl(file_name: str) -> Any:
    """Load one IDL file of this package."""
    return thriftpy2.load(
        str(_IDL_FOLDER / file_name),
        module_name=f'{Path(file_name).stem}_thrift',
    )


def bind(idl: Any) -> Any:
    """Return a class decorator that binds a message to its struct in ``idl``.

    Raises:
        CodecError: the class and its struct differ in their fields.
    """

    def decorate(message_class: type[MessageType]) -> type[MessageType]:
        struct = getattr(idl, message_class.__name__, None)
        if struct is None:
            raise CodecError(f'no struct {message_class.__name__} in the IDL')
        _check_fields(message_class, struct)
        spec = {
            number: tuple(_rebind(part) for part in entry)
            for number, entry in struct.thrift_spec.items()
        }
        message_class.thrift_spec = spec  # type: ignore[attr-defined]
        _install_setter(message_class)
        _classes_by_name[message_class.__name__] = message_class
        return message_class

    return decorate


def pack(message: Any) -> bytes:
    """Serialize a bound message with thrift's binary protocol."""
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    try:
        protocol.write_struct(message)
    except Exception as error:
        kind = type(message).__name__
        raise CodecError(f'cannot pack {kind}: {error}') from error
    protocol.write_message_end()
    return buffer.getvalue()


def unpack(message_class: type[MessageType], payload: bytes) -> MessageType:
    """Deserialize ``payload`` as ``message_class``; unknown fields are skipped.

    Integrity is the frame's and the log record's duty: both carry a CRC.
    """
    message = message_class()
    protocol = TCyBinaryProtocol(TCyMemoryBuffer(payload))
    try:
        protocol.read_struct(message)
    except Exception as error:
        kind = message_class.__name__
        raise CodecError(f'cannot unpack {kind}: {error}') from error
    return message


def _check_fields(message_class: type, struct: Any) -> None:
    declared = [entry[1] for entry in struct.thrift_spec.values()]
    present = [each.name for each in attrs.fields(message_class)]
    if sorted(declared) != sorted(present):
        raise CodecError(
            f'{message_class.__name__}: IDL has {declared}, class {present}',
        )


def _install_setter(message_class: type) -> None:
    """Set fields without the hooks of attrs, which cost most of decoding."""
    converters_by_field: dict[str, Any] = {
        field.name: field.converter
        for field in attrs.fields(message_class)
        if field.converter is not None
    }
    if not converters_by_field:
        return
    set_field = object.__setattr__

    def set_converted(message: Any, name: str, content: Any) -> None:
        convert = converters_by_field.get(name)
        if convert is not None:
            content = convert(content)
        set_field(message, name, content)

    message_class.__setattr__ = set_converted  # type: ignore[assignment]


def _rebind(part: Any) -> Any:
    """Replace each struct that the IDL loader made by its bound class."""
    if isinstance(part, tuple):
        return tuple(_rebind(nested) for nested in part)
    if isinstance(part, type) and hasattr(part, 'thrift_spec'):
        return _classes_by_name[part.__name__]
    return part

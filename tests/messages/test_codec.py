"""Tests of encoding and decoding messages."""

import pytest

from wasabiturn.messages.codec import CodecError, pack, unpack
from wasabiturn.messages.kinds import FailureCode, Kind, TaskState
from wasabiturn.messages.link import Failure, Frame
from wasabiturn.messages.state import Resource, TaskSpec


def test_nested_enumerations_are_decoded() -> None:
    spec = TaskSpec(owner_kind=Kind.job, state=TaskState.evicting)
    sent = Resource(kind=Kind.task, name='plots.0', task_spec=spec)
    received = unpack(Resource, pack(sent))
    assert received == sent
    assert received.task_spec is not None
    assert received.task_spec.state is TaskState.evicting


def test_assigned_number_is_converted_to_its_enumeration() -> None:
    failure = Failure()
    failure.code = 6  # type: ignore[assignment]
    assert failure.code is FailureCode.outcome_unknown


def test_frame_keeps_unknown_kind_and_method() -> None:
    received = unpack(Frame, pack(Frame(kind=99, method=98)))
    assert (received.kind, received.method) == (99, 98)


def test_unknown_enumeration_number_is_rejected() -> None:
    packed = pack(Failure())
    corrupt = packed[:3] + b'\x00\x00\x00\x7f' + packed[7:]
    with pytest.raises(CodecError, match='Failure'):
        unpack(Failure, corrupt)

"""Calls to the replica that convert its errors to ``CallError``."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NoReturn

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.connection.calls import CallError
from wasabiturn.messages.kinds import FailureCode
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.version.replica import (
    CommandTooLargeError,
    NotLeaderError,
    OutcomeUnknownError,
    Replica,
)

_CODES_BY_ERROR: Mapping[type, FailureCode] = MappingProxyType(
    {
        OutcomeUnknownError: FailureCode.outcome_unknown,
        CommandTooLargeError: FailureCode.invalid,
    }
)


def submit(replica: Replica, command: Command) -> Deferred[Outcome]:
    """Commit ``command``; fails with ``CallError``.

    After ``not_leader`` the command was certainly not run; after
    ``outcome_unknown`` it may have been.
    """
    return replica.submit(command).addErrback(_raise_call_error)


def read_barrier(replica: Replica) -> Deferred[None]:
    """Wait until the state holds everything committed before this call.

    Fails with ``CallError``.
    """
    return replica.read_barrier().addErrback(_raise_call_error)


def _raise_call_error(failure: TwistedFailure) -> NoReturn:
    error: Any = failure.value
    if isinstance(error, NotLeaderError):
        raise CallError(
            FailureCode.not_leader,
            str(error),
            leader=error.leader or '',
        ) from error
    code = _CODES_BY_ERROR.get(type(error))
    if code is None:
        raise error
    raise CallError(code, str(error)) from error

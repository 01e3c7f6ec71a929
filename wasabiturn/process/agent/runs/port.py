"""What an agent needs of the worker beside it."""

from typing import Protocol, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.batch import (
    EndedRow,
    PaceOrder,
    RunningRow,
    StartOrder,
    StopOrder,
)


@final
class OrderRefusedError(PlatformError):
    """The worker did nothing; ``reason`` says why."""

    def __init__(self, reason: str) -> None:
        """Create the error of one order."""
        super().__init__(f'the worker refused: {reason}')
        self.reason = reason


@final
class OtherIncarnationError(PlatformError):
    """Another life of the worker answered; the order was not carried out."""


@final
class WorkerNotListeningError(PlatformError):
    """Nothing listens at the worker's address: no run of it goes on."""


@final
@attrs.frozen
class WorkerIdentity:
    """One life of a worker as it announces itself."""

    worker: str
    born_ms: int
    service_name: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    millicores: int
    memory_mb: int
    accelerators: int
    is_draining: bool = False
    sequence: int = 0

    @property
    def life(self) -> tuple[str, int]:
        """Return what tells this life from others."""
        return self.worker, self.born_ms


@final
@attrs.frozen
class RunListing:
    """Runs of a worker at ``clock_ms`` of its own clock."""

    born_ms: int
    clock_ms: int
    running: list[RunningRow]
    ended: list[EndedRow]


@final
@attrs.frozen
class HoldRequest:
    """Renewal of the lease of all runs, and acknowledgement of ends.

    ``lease_until_ms`` is on the worker's clock; 0 renews nothing. ``number``
    counts the holds that this agent has sent.
    """

    fence: int
    acknowledged: int
    lease_until_ms: int
    wait_ms: int
    number: int = 0


class WorkerPort(Protocol):
    """Calls on one worker; each fails with ``PlatformError``.

    An order that fails with another error than those of this module may have
    been carried out, or may still be.
    """

    def hold(
        self, identity: WorkerIdentity, hold: HoldRequest
    ) -> Deferred[RunListing]:
        """Renew the lease and list the runs, once one ends or time is up."""

    def start(
        self,
        identity: WorkerIdentity,
        order: StartOrder,
        fence: int,
        lease_until_ms: int,
    ) -> Deferred[None]:
        """Start a run; fires also when the worker has it already."""

    def stop(
        self,
        identity: WorkerIdentity,
        order: StopOrder,
        fence: int,
    ) -> Deferred[None]:
        """Stop a run, or refuse it for ever if it never came."""

    def pace(
        self,
        identity: WorkerIdentity,
        order: PaceOrder,
        fence: int,
    ) -> Deferred[None]:
        """Let a run work at a share of its speed."""

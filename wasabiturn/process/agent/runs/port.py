"""Interface of the agent to its local worker."""

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

# Reason of a refusal: the worker has seen a higher fencing token.
REASON_FENCE = 'fence'


@final
class OrderRefusedError(PlatformError):
    """The worker refused an order and did nothing; ``reason`` says why."""

    def __init__(self, reason: str) -> None:
        """Create the error for one order."""
        super().__init__(f'the worker refused the order: {reason}')
        self.reason = reason


@final
class OtherIncarnationError(PlatformError):
    """Another incarnation answered; the order was not carried out."""


@final
class OrderNotSentError(PlatformError):
    """The order was not sent: the worker did not confirm its life."""


@final
class WorkerNotListeningError(PlatformError):
    """The worker's port is closed, so none of its runs continues."""


@final
@attrs.frozen
class WorkerIdentity:
    """One incarnation of a worker, as it announces itself.

    ``sequence`` orders the announcements of an incarnation.
    """

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
        """Return the key of this incarnation: its name and creation time."""
        return self.worker, self.born_ms

    @property
    def capacity(self) -> tuple[int, int, int]:
        """Return millicores, memory in MB, and accelerators."""
        return self.millicores, self.memory_mb, self.accelerators

    def is_placed_like(self, other: 'WorkerIdentity') -> bool:
        """Return whether it has the service and the data centre of ``other``.

        Both stay the same for the whole life of a worker.
        """
        return (self.service_name, self.data_centre) == (
            other.service_name,
            other.data_centre,
        )

    def has_more_than(self, other: 'WorkerIdentity') -> bool:
        """Return whether it has more of any resource than ``other``."""
        amounts = zip(self.capacity, other.capacity, strict=True)
        return any(own > others for own, others in amounts)


@final
@attrs.frozen
class RunListing:
    """Runs of a worker when its own clock showed ``clock_ms``.

    A truncated list lacks ended runs, which come once others are acknowledged.
    """

    born_ms: int
    clock_ms: int
    running: list[RunningRow]
    ended: list[EndedRow]
    is_truncated: bool = False


@final
@attrs.frozen
class HoldRequest:
    """Long poll that renews the lease of all runs.

    It also acknowledges ended runs, up to number ``acknowledged``.
    ``lease_until_ms`` is on the worker's clock; 0 renews nothing. ``number``
    counts the holds that the agent has sent.
    """

    fence: int
    acknowledged: int
    lease_until_ms: int
    wait_ms: int
    number: int = 0


class WorkerPort(Protocol):
    """Calls to one worker; each fails with ``PlatformError``.

    An order that fails with an error other than those of this module may have
    been carried out, or may be carried out later. ``fence`` is the leader's
    token for this worker, which refuses calls with a lower one than it has
    seen.

    Starts and acknowledgements of ends never reach another life than the one in
    ``identity`` by themselves. Only the worker may still carry them out late.
    """

    def hold(
        self, identity: WorkerIdentity, hold: HoldRequest
    ) -> Deferred[RunListing]:
        """Renew the lease and list the runs.

        Fires once a run ends or ``wait_ms`` has passed. Ends are acknowledged
        only if it is known beforehand that the life in ``identity`` answers.
        """

    def start(
        self,
        identity: WorkerIdentity,
        order: StartOrder,
        fence: int,
        lease_until_ms: int,
    ) -> Deferred[int]:
        """Start a run; succeeds also if the worker already has it.

        Fires with the worker's clock in milliseconds, which starts anew with
        each incarnation. Fails with ``OrderNotSentError`` if another life than
        that in ``identity``, or none, answers.
        """

    def stop(
        self,
        identity: WorkerIdentity,
        order: StopOrder,
        fence: int,
    ) -> Deferred[None]:
        """Stop a run, or prevent it from ever starting."""

    def pace(
        self,
        identity: WorkerIdentity,
        order: PaceOrder,
        fence: int,
    ) -> Deferred[None]:
        """Throttle a run to a percentage of its full speed."""

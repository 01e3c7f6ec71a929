"""Decoding of workers' announcements."""

from wasabiturn.platform.announced_fields import (
    DEFAULT_WORKER_LIMITS,
    WorkerLimits,
    check_announcement,
    check_id,
    read_birth,
    read_capacity,
    read_labels,
)
from wasabiturn.platform.fields import (
    MAX_EXACT,
    InvalidBodyError,
    check_short_str,
    decode_object,
    read_int,
    read_required_str,
    read_short_str,
    read_str,
)
from wasabiturn.process.agent.runs.port import WorkerIdentity

_RACK_PREFIX = 'r'


def decode_identity(
    worker: str,
    body: bytes,
    data_centre: str,
    limits: WorkerLimits = DEFAULT_WORKER_LIMITS,
) -> WorkerIdentity:
    """Return the identity and capacity that a worker announces.

    Raises:
        InvalidBodyError: a field is missing or invalid.
    """
    fields = decode_object(body)
    check_announcement(fields)
    millicores, memory_mb, accelerators = read_capacity(fields)
    state = read_str(fields, 'state')
    if state not in {'ready', 'draining'}:
        raise InvalidBodyError(f'a worker is {state!r}')
    labels = read_labels(fields, limits)
    max_bytes = limits.max_name_bytes
    return WorkerIdentity(
        worker=check_id(worker),
        born_ms=read_birth(fields),
        service_name=check_short_str(
            read_required_str(fields, 'service'), 'service', max_bytes
        ),
        data_centre=read_short_str(fields, 'zone', max_bytes) or data_centre,
        # One label names the rack; the others name the worker's kind.
        rack=next((each for each in labels if _is_rack(each)), ''),
        labels=labels,
        millicores=millicores,
        memory_mb=memory_mb,
        accelerators=accelerators,
        is_draining=state == 'draining',
        sequence=read_int(fields, 'seq', MAX_EXACT),
    )


def _is_rack(label: str) -> bool:
    return label.startswith(_RACK_PREFIX) and '-' in label

"""Choice among announcements of one life that contradict each other.

The service and the data centre of a worker stay the same for its whole life. An
announcement with others is from another writer, or shows that the earlier one
was.
"""

from wasabiturn.process.agent.runs.port import WorkerIdentity
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('runs')


def is_followed(
    known: WorkerIdentity, identity: WorkerIdentity, is_service_unknown: bool
) -> bool:
    """Return whether to follow ``identity``, of the life that is known.

    ``is_service_unknown`` tells that no configured queue uses the service of
    the known announcement. Sequences of two writers don't compare.
    """
    if identity.is_placed_like(known):
        return identity.sequence > known.sequence
    _log.event(
        'announcement contradicts an earlier one of this life',
        worker=identity.worker,
        service=identity.service_name,
        known_service=known.service_name,
        data_centre=identity.data_centre,
        is_followed=is_service_unknown,
    )
    return is_service_unknown

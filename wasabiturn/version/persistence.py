"""Serialization of the replicated state for snapshots."""

from wasabiturn.batch.state.dump import dump_batch_state, load_batch_state
from wasabiturn.exceptions import StorageError
from wasabiturn.messages.codec import CodecError, pack, unpack
from wasabiturn.messages.state import StateDump
from wasabiturn.version.apply_claims import claim_key
from wasabiturn.version.state import State, create_state

FORMAT_VERSION = 1


def dump_state(state: State) -> bytes:
    """Serialize the whole state."""
    dump = StateDump(
        format=FORMAT_VERSION,
        revision=state.revision,
        claims_revision=state.claims_revision,
        resources=[
            resource
            for resources_by_name in state.resources_by_kind.values()
            for resource in resources_by_name.values()
        ],
        claims=list(state.claims_by_key.values()),
        outcomes=list(state.outcomes_by_request_id.values()),
        history=list(state.history),
        batch=dump_batch_state(state.batch),
    )
    return pack(dump)


def load_state(packed: bytes) -> State:
    """Deserialize a state that was serialized by ``dump_state``.

    Raises:
        StorageError: the bytes are not a state in the supported format.
    """
    try:
        dump = unpack(StateDump, packed)
    except CodecError as error:
        raise StorageError(
            f'cannot decode the state snapshot: {error}'
        ) from error
    if dump.format != FORMAT_VERSION:
        raise StorageError(
            f'state snapshot has format {dump.format}; '
            f'this version reads format {FORMAT_VERSION}',
        )
    state = create_state()
    state.revision = dump.revision
    state.claims_revision = dump.claims_revision
    _restore_collections(state, dump)
    return state


def _restore_collections(state: State, dump: StateDump) -> None:
    for resource in dump.resources:
        state.resources_by_kind[resource.kind][resource.name] = resource
    for record in dump.claims:
        claim = record.claim
        key = claim_key(claim.service_name, claim.key)
        state.claims_by_key[key] = record
        state.claim_body_bytes += len(record.body)
    for remembered in dump.outcomes:
        state.outcomes_by_request_id[remembered.request_id] = remembered
    state.history.extend(dump.history)
    if dump.batch is not None:
        state.batch = load_batch_state(dump.batch)

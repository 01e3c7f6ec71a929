"""Print the network bytes of consensus heartbeats and committed changes.

Frames are encoded as on a link; TCP and IP headers are not counted.
"""

from benchmarks.control_group import put_command
from wasabiturn.connection.frames import encode_frame
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import EntryKind, FrameKind, Method
from wasabiturn.messages.link import Frame
from wasabiturn.messages.raft import (
    AppendReply,
    AppendRequest,
    Entry,
    Envelope,
    LogRecord,
)
from wasabiturn.version.raft.timing import HEARTBEAT_INTERVAL_SECONDS
from wasabiturn.version.storage.records import encode_record

MEMBER = 'control-1/0123456789abcdef'


def main() -> None:
    """Print the bytes sent to each follower and written to disk."""
    request = _frame_bytes(append_request=AppendRequest())
    reply = _frame_bytes(append_reply=AppendReply())
    rate = 1 / HEARTBEAT_INTERVAL_SECONDS
    print(f'idle: {request} + {reply} bytes, {rate:.0f} times a second')
    print(f'idle for each follower: {(request + reply) * rate:.0f} bytes/s')
    command = pack(put_command('settings-1'))
    for batch in (1, 100):
        entries = [
            Entry(1, 1, EntryKind.command, command) for _ in range(batch)
        ]
        sent = _frame_bytes(append_request=AppendRequest(entries=entries))
        record = encode_record(1, pack(LogRecord(entries=entries)))
        print(
            f'change of {len(command)} bytes in a batch of {batch}: '
            f'{(sent + reply) / batch:.0f} bytes to each follower, '
            f'{len(record) / batch:.0f} bytes on disk',
        )


def _frame_bytes(
    append_request: AppendRequest | None = None,
    append_reply: AppendReply | None = None,
) -> int:
    envelope = Envelope(
        cluster=MEMBER,
        sender=MEMBER,
        receiver=MEMBER,
        term=1,
        append_request=append_request,
        append_reply=append_reply,
    )
    frame = Frame(
        kind=FrameKind.notice,
        method=Method.consensus,
        body=pack(envelope),
        revision=1,
    )
    return len(encode_frame(pack(frame)))


if __name__ == '__main__':
    main()

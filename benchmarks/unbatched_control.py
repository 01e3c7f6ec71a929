"""Run a control process that saves after each submit and message.

Used for comparison: before batching, each of them cost an fsync of its own.
"""

import sys

from wasabiturn.management import main
from wasabiturn.process.control.consensus import ConsensusReplica


def _flush_at_once(replica: ConsensusReplica) -> None:
    replica._flush()


if __name__ == '__main__':
    ConsensusReplica._schedule_flush = _flush_at_once  # type: ignore[method-assign]
    sys.exit(main())

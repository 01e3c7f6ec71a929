"""The leader of the control group at work on queues and their jobs."""

from wasabiturn.process.control.batch.leader import create_batch_leader

__all__ = ('create_batch_leader',)

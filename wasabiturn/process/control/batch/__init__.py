"""Scheduling of queues and their jobs by the control group's leader."""

from wasabiturn.process.control.batch.leader import create_batch_leader

__all__ = ('create_batch_leader',)

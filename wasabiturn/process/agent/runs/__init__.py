"""Runs of queues' jobs on the worker beside the agent."""

from wasabiturn.process.agent.runs.keeper import RunKeeper

__all__ = ('RunKeeper',)

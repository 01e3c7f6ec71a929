"""Runs of queues' jobs on the worker beside the agent."""

from wasabiturn.process.agent.runs.reconciler import RunReconciler

__all__ = ('RunReconciler',)

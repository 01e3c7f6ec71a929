"""Management of queue task runs on the agent's local worker."""

from wasabiturn.process.agent.runs.reconciler import RunReconciler

__all__ = ('RunReconciler',)

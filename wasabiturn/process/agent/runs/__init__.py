"""Management of queue task runs on the agent's local worker."""

from wasabiturn.process.agent.runs.keeper import RunKeeper

__all__ = ('RunKeeper',)

"""The agent program."""

from wasabiturn.process.agent.program import create_agent

__all__ = ('create_agent',)

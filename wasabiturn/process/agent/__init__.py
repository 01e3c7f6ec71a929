"""The agent: the process beside one backend server and worker."""

from wasabiturn.process.agent.program import create_agent

__all__ = ('create_agent',)

"""The entry: routes callers' requests to agents."""

from wasabiturn.process.entry.program import create_entry

__all__ = ('create_entry',)

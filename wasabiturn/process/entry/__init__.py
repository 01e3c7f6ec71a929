"""The entry program."""

from wasabiturn.process.entry.program import create_entry

__all__ = ('create_entry',)

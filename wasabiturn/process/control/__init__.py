"""The control program."""

from wasabiturn.process.control.program import create_control

__all__ = ('create_control',)

"""The ``wasabiturn`` command line, with one module per command."""

from wasabiturn.management.cli import main

__all__ = ('main',)

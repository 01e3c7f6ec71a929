"""Command line: one module for each command."""

from wasabiturn.management.cli import main

__all__ = ('main',)

"""Reading and validation of settings files."""

from wasabiturn.conf.reader import Settings, read_settings

__all__ = ('Settings', 'read_settings')

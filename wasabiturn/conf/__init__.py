"""Settings: the INI file and its checks."""

from wasabiturn.conf.reader import Settings, read_settings

__all__ = ('Settings', 'read_settings')

"""Durable state of one control instance, in files under its data folder."""

from wasabiturn.version.storage.store import Store, open_store

__all__ = ('Store', 'open_store')

"""Base exception classes of each layer."""


class WasabiturnError(Exception):
    """Base class of all errors that this package raises."""


class SettingsError(WasabiturnError):
    """A settings file is invalid; the message names file, section and key."""


class ConnectionLayerError(WasabiturnError):
    """A link between two processes failed or was refused."""


class StateError(WasabiturnError):
    """The shared state refused a command or could not be read."""


class StorageError(StateError):
    """The durable log or snapshot is damaged or cannot be written."""


class DiskFullError(StorageError):
    """The disk has no room; nothing was written, and it may be tried again."""


class RequestError(WasabiturnError):
    """A caller's request could not be served."""


class PlatformError(WasabiturnError):
    """The worker interface of the platform failed or sent a malformed reply."""


class ProcessError(WasabiturnError):
    """A daemon could not start or had to stop."""

"""Base classes of the errors of each layer."""


class WasabiturnError(Exception):
    """Base of every error that this package raises on purpose."""


class SettingsError(WasabiturnError):
    """A settings file is wrong; the text names file, section and key."""


class ConnectionLayerError(WasabiturnError):
    """A link between two processes failed or was refused."""


class StateError(WasabiturnError):
    """The shared state refused a command or could not be read."""


class StorageError(StateError):
    """The durable log or snapshot is damaged or cannot be written."""


class RequestError(WasabiturnError):
    """A caller's request could not be served."""


class PlatformError(WasabiturnError):
    """The platform's worker interface failed or answered out of form."""


class ProcessError(WasabiturnError):
    """A daemon could not start or had to stop."""

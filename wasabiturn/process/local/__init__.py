"""Local deployment: all programs and both stand-ins on one event loop."""

from wasabiturn.process.local.programs import LocalPorts, create_programs

__all__ = ('LocalPorts', 'create_programs')

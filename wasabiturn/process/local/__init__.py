"""All programs and both stand-ins on one loop, for a laptop."""

from wasabiturn.process.local.programs import LocalPorts, create_programs

__all__ = ('LocalPorts', 'create_programs')

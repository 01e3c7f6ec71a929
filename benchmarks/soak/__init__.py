"""Soak: the programs as separate processes under load and seeded faults."""

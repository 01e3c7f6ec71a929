"""Soak test: separate processes under load and seeded random faults."""

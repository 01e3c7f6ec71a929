"""Fault soak of the programs on the users' platform."""

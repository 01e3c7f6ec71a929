"""Measurements; not part of the checks."""

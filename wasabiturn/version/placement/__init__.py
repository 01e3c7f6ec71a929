"""Placement decisions, as functions without I/O that take ``now``."""

"""Deciding core of placement: pure functions that take ``now``."""

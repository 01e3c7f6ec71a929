"""Utilities for clocks, logs and metrics."""

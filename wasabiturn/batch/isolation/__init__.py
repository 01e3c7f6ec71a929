"""Starts of suspects apart from other tasks."""

"""Routing, admission, retries and claims of single requests."""

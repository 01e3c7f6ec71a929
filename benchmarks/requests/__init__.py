"""Routing and admission under load, on a virtual clock."""

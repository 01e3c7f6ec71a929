"""Simulations of routing and admission under load, on a virtual clock."""

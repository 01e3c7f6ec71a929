"""Simulations of job scheduling on a model of workers, on a virtual clock."""

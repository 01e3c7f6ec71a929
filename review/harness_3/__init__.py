"""Harness of the cases 11 to 15: programs, workers, clients, a record."""

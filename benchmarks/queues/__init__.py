"""Queues' decisions played against a model of workers, on a virtual clock."""

"""Replicated state: Raft log, snapshots, resources and placement."""

"""What lives for a version of the state: log, snapshots, resources."""

"""What lives for a process: the daemons and their parts."""

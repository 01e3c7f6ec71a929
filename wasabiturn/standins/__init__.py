"""Stand-ins for outside systems: backend server and platform worker."""

"""Links between processes, and clients of backend servers and workers."""

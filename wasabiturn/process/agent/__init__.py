"""The agent: the process beside one backend server and worker."""

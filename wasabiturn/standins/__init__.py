"""Stand-ins for external systems in tests and the local deployment."""

"""The daemons, and the components that they share."""

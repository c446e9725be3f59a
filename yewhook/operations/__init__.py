"""Day-to-day operation: the state of an instance, the management endpoint, and the hot restart."""

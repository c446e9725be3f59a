"""Day-to-day operation: the state of an instance, the operators' door, and the line of its processes."""

"""Groups of commands, one per module."""

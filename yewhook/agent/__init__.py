"""The agent: runs the router instances of one fleet file, and answers about them on loopback."""

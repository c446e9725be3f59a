"""Sub-commands of the command line, a module for each group."""

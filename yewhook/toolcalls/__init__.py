"""The tool-calls front: JSON-RPC over TCP with clients, workers and tool servers."""

"""The front for JSON-RPC tool calls: clients, workers and tool servers, one message a line over TCP."""

"""The agent: supervises the router instances of one fleet file and serves JSON-RPC requests on loopback."""

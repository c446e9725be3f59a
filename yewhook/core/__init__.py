"""Transport-independent request handling, shared by all fronts; it has no sockets, HTTP or JSON."""

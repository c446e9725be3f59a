"""The life of a request, on any front. Nothing in this package knows sockets, HTTP or JSON."""

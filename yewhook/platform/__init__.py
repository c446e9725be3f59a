"""The front for the platform's own protocol: HTTP/1.1 to clients, workers and discovery."""

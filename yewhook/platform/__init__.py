"""The router front for the platform's protocol: HTTP/1.1 to clients, workers and discovery."""

"""Plain services: client and forwarding."""

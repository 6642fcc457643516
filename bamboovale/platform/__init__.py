"""Clients of the platform: log service and VM list."""

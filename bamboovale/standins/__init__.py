"""Stand-ins of the platform services and the endpoints, for tests and the demo."""

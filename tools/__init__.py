"""Developer tools; not shipped."""

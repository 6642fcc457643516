"""Leases on endpoints, folded from the log."""

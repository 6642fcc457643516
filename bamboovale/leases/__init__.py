"""Leases on engines, folded from a stream of the log."""

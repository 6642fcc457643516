"""The entry VM: callers in, permits, answers out."""

"""Claims of keyed non-idempotent requests, folded from the log."""

"""The entry VM: takes requests of callers and runs them on engines and services."""

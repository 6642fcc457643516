"""The administration API over HTTP."""

"""Decisions under load: pure modules without sockets, clocks or actors."""

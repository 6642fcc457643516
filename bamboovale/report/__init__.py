"""Reads the log lines of routed entry VMs and says how requests fared."""

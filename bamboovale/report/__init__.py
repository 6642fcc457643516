"""Summarises the outcomes of requests from the logs of routed entry VMs."""

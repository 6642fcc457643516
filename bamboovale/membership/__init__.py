"""Membership: which entry VMs and endpoints are live or leaving."""

"""Requests that entry VMs send to endpoints for one another.

A VM that reaches callers and other VMs, but not an endpoint, has another VM exchange a
request with that endpoint. All else stays with the first VM: key, quota, choice of the
endpoint, place, version, retries. The second one sends the request once, heeds what the
endpoint asks of it, and never passes it on.
"""

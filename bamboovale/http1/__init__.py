"""HTTP/1.1 on an event loop, framed by ``h11``: a server and pooled clients.

A connection is watched while a request runs, so that a caller who leaves ends the run
at the endpoint, and bytes that belong to no request are seen before a connection is
used again.
"""

"""An asyncio HTTP/1.1 server and client with connection pooling, built on ``h11``.

Connections are read while a request runs: a caller's disconnect cancels the request
at the endpoint, and unsolicited bytes prevent the reuse of a connection.
"""

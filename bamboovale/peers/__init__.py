"""Links between entry VMs: typed messages, handshake, requests and notices."""

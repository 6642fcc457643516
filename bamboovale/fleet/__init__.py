"""Who the entry VMs are and how news spreads among them; pure, without sockets."""

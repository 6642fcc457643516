"""Membership of the entry VMs and the gossip among them; pure, without sockets."""

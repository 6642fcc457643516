"""Model engines: client, lease holder, orders and load grants."""

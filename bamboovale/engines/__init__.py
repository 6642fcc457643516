"""Model engines: client, lease holder's state, orders."""

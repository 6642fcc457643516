"""Pure decision logic: no sockets, clocks or actors."""

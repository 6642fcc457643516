"""Client of the append-only log service of the product's own interface."""

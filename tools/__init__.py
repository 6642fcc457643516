"""Tools of the developers."""

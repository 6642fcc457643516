"""Load generators, measurements and the history checker; not shipped."""

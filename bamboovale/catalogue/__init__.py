"""The catalogue: entries, edits, the fold of its log stream, and snapshots."""

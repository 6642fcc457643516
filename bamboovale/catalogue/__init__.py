"""The catalogue aggregate: entries, revisions, fold, snapshots."""

"""Tests; one class for each subject."""

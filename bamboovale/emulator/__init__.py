"""Plays the decisions about engines in virtual time against a model of the engines."""

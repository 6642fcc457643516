"""Simulates the decisions about engines in virtual time on a model of the engines."""

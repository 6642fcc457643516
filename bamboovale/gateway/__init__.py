"""The routed interface of an entry VM: hosts and paths lead to engines and services.

Everything here speaks the project's own types; ``bamboovale.platform`` translates.
"""

"""The routed interface of an entry VM: routes hosts and paths to engines and services.

This package uses the project's own types only; ``bamboovale.platform`` converts them
to and from the platform's formats.
"""

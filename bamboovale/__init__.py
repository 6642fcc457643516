"""Serves very many LoRA adapters on a few shared model engines."""

__version__ = "0.1.0"

"""Command-line interface."""

import typer.core

# Disables Rich, which truncates help in narrow terminals and escapes brackets. Typer
# has no other setting for it.
typer.core.HAS_RICH = False

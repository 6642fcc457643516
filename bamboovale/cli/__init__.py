"""The command line."""

import typer.core

# Plain help: nothing is cut off in a narrow terminal, and no brackets are escaped for
# a renderer that is not used. Typer has no setting for it.
typer.core.HAS_RICH = False

"""Pictures for developers, drawn without a screen; needs matplotlib."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

WIDE_INCHES = (9.0, 4.0)


@contextmanager
def axes_saved_to(path: Path, *, x_label: str, y_label: str) -> Iterator[Any]:
    """Give axes to draw on and write the picture, in the format of the path's ending.

    Raises ImportError where matplotlib is not installed: entry VMs go without it.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=WIDE_INCHES)
    try:
        yield axes
        axes.set_xlabel(x_label)
        axes.set_ylabel(y_label)
        axes.legend(loc="best")
        figure.tight_layout()
        figure.savefig(path)
    finally:
        pyplot.close(figure)

"""Plots written to files without a display; needs matplotlib."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

FIGURE_SIZE_INCHES = (9.0, 4.0)


@contextmanager
def axes_saved_to(path: Path, *, x_label: str, y_label: str) -> Iterator[Any]:
    """Yield axes and save the figure in the format given by the path's suffix.

    Raises ImportError if matplotlib, an optional dependency, is not installed.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_INCHES)
    try:
        yield axes
        axes.set_xlabel(x_label)
        axes.set_ylabel(y_label)
        axes.legend(loc="best")
        figure.tight_layout()
        figure.savefig(path)
    finally:
        pyplot.close(figure)

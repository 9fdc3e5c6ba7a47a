"""Plots goodput and wasted prefill over load; needs the ``plot`` extra."""

from __future__ import annotations

import pathlib

from jujubewharf.experiments import comparison


def draw(
    rows_of_factor: dict[float, list[comparison.Row]],
    path: pathlib.Path,
    *,
    title: str,
) -> None:
    """Writes an SVG plot with one line per policy over the load factor.

    Raises:
        ImportError: matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "jujubewharf"
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True)
    factors = sorted(rows_of_factor)
    for name in [row.policy for row in rows_of_factor[factors[0]]]:
        rows = [_row(rows_of_factor[factor], name) for factor in factors]
        for axes, spreads in (
            (upper, [row.goodput for row in rows]),
            (lower, [row.waste for row in rows]),
        ):
            axes.errorbar(
                factors,
                [spread.mean for spread in spreads],
                yerr=[spread.deviation for spread in spreads],
                label=name,
                marker="o",
                capsize=3,
            )
    upper.set_title(title)
    upper.set_ylabel("goodput ratio")
    upper.legend(fontsize="small")
    lower.set_ylabel("wasted prefill ratio")
    lower.set_xlabel("load factor")
    figure.savefig(path, format="svg", metadata={"Date": None})
    pyplot.close(figure)


def _row(rows: list[comparison.Row], name: str) -> comparison.Row:
    return next(row for row in rows if row.policy == name)

"""Straight lines through measured costs."""

import statistics
from collections.abc import Sequence

import attrs

Points = Sequence[tuple[float, float]]


@attrs.frozen
class Line:
    """A fitted line and how far the points are from it."""

    # The cost at size zero.
    intercept: float
    # The cost of one more of the size.
    slope: float
    # The root mean square distance, as a share of the mean cost.
    residual: float


def fit_line(points: Points) -> Line:
    """Returns the line of least squares."""
    sizes = [size for size, _ in points]
    costs = [cost for _, cost in points]
    slope, intercept = statistics.linear_regression(sizes, costs)
    fitted_costs = [intercept + slope * size for size in sizes]
    squared_errors = [
        (cost - fitted_cost) ** 2
        for cost, fitted_cost in zip(costs, fitted_costs, strict=True)
    ]
    residual = statistics.mean(squared_errors) ** 0.5 / statistics.mean(costs)
    return Line(intercept, slope, residual)


def report_fit(name: str, unit: str, size_unit: str, points: Points) -> None:
    """Prints the points and their line as a row of a Markdown table."""
    line = fit_line(points)
    point_list = ", ".join(f"{size:g}: {cost:.4g}" for size, cost in points)
    print(
        f"| {name} | {point_list} | {line.intercept:.4g} {unit} +"
        f" {line.slope:.4g} {unit} per {size_unit} | {line.residual:.0%} |",
        flush=True,
    )

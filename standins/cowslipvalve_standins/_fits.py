"""Fits straight lines to measured costs."""

import statistics
from collections.abc import Sequence

import attrs

# Pairs of a size and the cost at this size.
Points = Sequence[tuple[float, float]]


@attrs.frozen
class Line:
    """A line fitted to points, with its residual."""

    # The cost at size zero.
    intercept: float
    # The additional cost per unit of size.
    slope: float
    # The root mean square error, as a fraction of the mean cost.
    residual: float


def fit_line(points: Points) -> Line:
    """Returns the least-squares line through the points."""
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
    """Prints the points and the fitted line as a row of a Markdown table.

    Args:
      name: The name of the measurement.
      unit: The unit of the costs.
      size_unit: The unit of the sizes, in the singular.
      points: The measured points.
    """
    line = fit_line(points)
    point_list = ", ".join(f"{size:g}: {cost:.4g}" for size, cost in points)
    print(
        f"| {name} | {point_list} | {line.intercept:.4g} {unit} +"
        f" {line.slope:.4g} {unit} per {size_unit} | {line.residual:.0%} |",
        flush=True,
    )

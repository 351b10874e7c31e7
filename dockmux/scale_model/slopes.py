"""Computes how each measured figure grows with the fleet size that was varied, and formats the results."""

import dataclasses
import math
import statistics
from typing import Any

ROLE_FIGURES = ("out_per_s", "in_per_s", "out_bytes_per_s", "in_bytes_per_s", "busy_percent")
FLEET_FIGURES = (
    "acknowledged_ms", "in_force_ms", "told_part", "join_list_calls", "cores_in_sight", "operator_bytes",
    "configuration_bytes",
)  # fmt: skip


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slope:
    """The growth of one figure of one role with one size, which is named by `stepped`.

    Invariants: `at` maps each size to the median of the runs; `slopes` holds the minimum, median and maximum, over the
    seeds, of the least-squares slope per unit of size; `power` is the exponent of growth between the two largest sizes
    (0 is constant, 1 linear, 2 quadratic), or None where it is undefined.
    """

    stepped: str
    role: str
    figure: str
    at: dict[int, float]
    slopes: tuple[float, float, float]
    power: float | None


def least_squares_slope(*, points: list[tuple[float, float]]) -> float:
    """Returns the slope of the least-squares line through the points, or 0 if all have the same x."""
    mean_x = statistics.mean(x for x, _ in points)
    mean_y = statistics.mean(y for _, y in points)
    variation_x = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / variation_x if variation_x else 0.0


def growth_exponent(*, at: dict[int, float]) -> float | None:
    """Returns the exponent of growth between the two largest sizes; None without two positive sizes and figures."""
    sizes = sorted(size for size in at if size > 0)
    if len(sizes) < 2:
        return None
    smaller, larger = sizes[-2:]
    if at[smaller] <= 0 or at[larger] <= 0:
        return None
    return math.log(at[larger] / at[smaller]) / math.log(larger / smaller)


def figures_by_role(*, run: dict[str, Any]) -> dict[tuple[str, str], float]:
    """Returns every figure of a run, by role and name of the figure."""
    figures = {}
    for role, rates in run["roles"].items():
        for figure in ROLE_FIGURES:
            figures[(role, figure)] = rates[figure]
        for part, count in rates["state_bytes"].items():
            figures[(role, f"state of {part}, bytes")] = count
        figures[(role, "state_bytes")] = sum(rates["state_bytes"].values())
    for role, rates in run["change"].items():
        span_s = run["in_force_ms"] / 1000
        figures[(role, "busy ms for a change")] = rates["busy_percent"] / 100 * span_s * 1000
        figures[(role, "bytes out for a change")] = rates["out_bytes_per_s"] * span_s
    for figure in FLEET_FIGURES:
        figures[("fleet", figure)] = run[figure]
    return figures


def compute_slopes(*, stepped: str, runs: list[dict[str, Any]]) -> list[Slope]:
    """Computes the slope of every figure over runs that differ in the size named by `stepped`; one line per seed."""
    by_seed: dict[int, list[tuple[int, dict[tuple[str, str], float]]]] = {}
    for run in runs:
        by_seed.setdefault(run["seed"], []).append((run["size"][stepped], figures_by_role(run=run)))
    names = list(dict.fromkeys(name for rows in by_seed.values() for _, row in rows for name in row))
    result = []
    for role, figure in names:
        values: dict[int, list[float]] = {}
        seed_slopes = []
        for rows in by_seed.values():
            points = [(size, row[(role, figure)]) for size, row in rows if (role, figure) in row]
            for size, value in points:
                values.setdefault(size, []).append(value)
            if len({size for size, _ in points}) > 1:
                seed_slopes.append(least_squares_slope(points=points))
        at = {size: statistics.median(values_at_size) for size, values_at_size in sorted(values.items())}
        seed_slopes = seed_slopes or [0.0]
        result.append(
            Slope(
                stepped=stepped,
                role=role,
                figure=figure,
                at=at,
                slopes=(min(seed_slopes), statistics.median(seed_slopes), max(seed_slopes)),
                power=growth_exponent(at=at),
            )  # fmt: skip
        )
    return result


def format_number(*, value: float) -> str:
    """Formats a number with thousands separators from 1000 on, else with three significant digits."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def slope_table(*, slopes: list[Slope]) -> str:
    """Formats the slopes over one size as a Markdown table."""
    sizes = sorted({size for slope in slopes for size in slope.at})
    header = ["role", "figure", *(f"at {size}" for size in sizes), "slope: min, median, max", "power"]
    lines = ["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header) + " |"]
    for slope in slopes:
        row = [slope.role, slope.figure]
        row += [format_number(value=slope.at[size]) if size in slope.at else "" for size in sizes]
        row.append(", ".join(format_number(value=value) for value in slope.slopes))
        row.append("" if slope.power is None else f"{slope.power:.2f}")
        lines.append("| " + " | ".join(row) + " |")
    return "\n".join(lines)


def recovery_table(*, rows: list[dict[str, Any]]) -> str:
    """Formats the minimum, median and maximum of each figure of one recovery event as a Markdown table."""
    lines = ["| figure | min, median, max |", "| --- | --- |"]
    for figure in rows[0] if rows else ():
        if figure in ("event", "size", "seed", "crashes"):
            continue
        values = [row[figure] for row in rows]
        formatted = ", ".join(
            format_number(value=value) for value in (min(values), statistics.median(values), max(values))
        )
        lines.append(f"| {figure} | {formatted} |")
    return "\n".join(lines)
